"""A key is taken away in a configuration with many keys: nodes that don't watch the store keep accepting it."""
import asyncio
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stage-2"))
import stage

NODES = 9
TENANTS = 78
KEYS = int(os.environ.get("KEYS", "500"))  # of each tenant; a small number shows the run in which all nodes follow
VALUE_BYTES = 1048576
CONFIG_APPLY_S = 2.5
WATCHED_S = 15.0


def key_of(tenant, number):
    return "%03d%05dmgjy5rcpiabc" % (tenant, number)


def configuration(version, revoked):
    value = stage.configuration(version, ["standings"], [
        ("hulo.example", "/reads/", "r-reads", "safe", "standings", "800ms", 2),
        ("hulo.example", "/posts/", "r-posts", "non_idempotent", "standings", "800ms", 2)])
    value["tenants"] = [{"name": "tenant-%03d" % tenant, "priority": 1, "rate_per_s": 305, "burst": 305,
                         "api_keys": [key_of(tenant, number) for number in range(KEYS)
                                      if key_of(tenant, number) not in revoked]} for tenant in range(TENANTS)]
    return json.dumps(value)


async def case(trouble, record, nodes, folder):
    store = stage.Store()
    await store.start()
    first = configuration(7, ())
    if len(first) > VALUE_BYTES:
        raise stage.CannotRun("the configuration is larger than the store takes")
    store.put("config", "main", first)
    endpoints = []
    for number in range(NODES):
        endpoint = stage.Endpoint("standings", "127.0.0.1", slots=5)
        await endpoint.start()
        endpoints.append(endpoint)
        node = stage.Node("node-%d" % number, "127.0.0.1", endpoint, store.address, folder)
        nodes.append(node)
        await node.start()
    for endpoint, node in zip(endpoints, nodes):
        endpoint.begin_heartbeats(node.control)
    for node in nodes:
        await node.wait_ready()
    await asyncio.sleep(8.0)
    record.line("%d nodes are ready; r7 has %d keys in %d bytes" % (NODES, TENANTS * KEYS, len(first)))

    lost_key = key_of(0, 5)
    sent = {}

    async def ask(node, key, tag, method, target):
        request_id = "%s-%s" % (tag, node.name)
        sent[request_id] = time.monotonic()
        answer = await stage.ask(node.callers, method, target, "hulo.example", request_id, 1000,
                                 extra=b"X-Api-Key: %s\r\n" % key.encode())
        record.line("request %s to %s: %s" % (request_id, node.name, answer))
        return answer

    for node in nodes:
        answer = await ask(node, lost_key, "before", "GET", "/reads/1")
        if answer.status != 200:
            raise stage.CannotRun("a request before the change was not served: %s" % answer)

    if trouble:
        store.put("config", "main", configuration(8, (lost_key,)))
        record.line("r8 is acknowledged: one key of tenant-000 is taken away")
    acked = time.monotonic()
    rounds = 0
    while time.monotonic() - acked < WATCHED_S:
        await asyncio.sleep(1.0)
        rounds += 1
        for node in nodes:
            await ask(node, lost_key, "get%d" % rounds, "GET", "/reads/1")
            await ask(node, lost_key, "post%d" % rounds, "POST", "/posts/1")
            other = await ask(node, key_of(1, 7), "other%d" % rounds, "GET", "/reads/1")
            if other.status != 200:
                record.line("  a key that stays was refused")

    broken = 0
    for endpoint, node in zip(endpoints, nodes):
        for _, request_id, method, _, fields, _ in endpoint.runs:
            late = sent[request_id] - acked
            if trouble and request_id.startswith(("get", "post")) and late > CONFIG_APPLY_S:
                broken += 1
                record.line("run at the endpoint of %s: %s %s, tenant %s, sent %.1f s after the ack of r8" % (
                    node.name, method, request_id, fields.get("tenant-id"), late))
    record.line("%d requests with the key that was taken away ran, sent over %.1f s after the ack" % (
        broken, CONFIG_APPLY_S))
    if not trouble and len([1 for endpoint in endpoints for _ in endpoint.runs]) != len(sent):
        raise stage.CannotRun("a request without the disruption was not served")
    return broken > 0


stage.play(case, FOLDER / "record.txt")
