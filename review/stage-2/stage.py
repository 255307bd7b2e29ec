"""Stand-ins for the platform's store, endpoints and consumers, and a starter for nodes.

All servers run in one asyncio loop; the nodes are separate processes of the program under review.
"""
import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
MESH = ROOT / "target" / "bin" / "poplar-mesh"


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


GIVEN_PORTS = set()


def free_port(host):
    """A free port below those that the kernel gives to outgoing connections, which could take it before it is used."""
    while True:
        port = random.randrange(15000, 32000)
        if port in GIVEN_PORTS:
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        GIVEN_PORTS.add(port)
        return port


async def read_head(reader):
    """Reads a start line and header section; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_close=False):
    """Reads a body; raises if the connection ends before it is complete."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            body += piece[:-2]
            if size == 0:
                return body
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_close else b""


class Store:
    """The platform's store: objects by kind and name, one revision counter, watches."""

    def __init__(self):
        self.objects = {}
        self.revision = 10
        self.events = []
        self.changed = asyncio.Event()
        self.oldest = 0  # the last revision of which no change is kept any more
        self.history_s = 20.0
        self.paged = False  # whether the answer to a watch holds 1 MB at most
        self.calls = []  # (monotonic time, method, target, status, bytes of the answer)
        self.down = False
        self.server = None
        self.address = ""
        self.writers = set()

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def put(self, kind, name, spec):
        """Writes as the operator does; the spec is a value or its JSON text."""
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old["created"] if old else self.revision
        text = spec if isinstance(spec, str) else json.dumps(spec)
        metadata = json.dumps({"name": name, "rev": self.revision, "created_at": created, "finalizers": [],
                               "deleting": False})
        item = {"name": name, "rev": self.revision, "created": created,
                "text": '{"metadata":%s,"spec":%s,"status":null}' % (metadata, text)}
        self.objects[(kind, name)] = item
        self.publish(kind, item, False)
        return item

    def publish(self, kind, item, deleted):
        self.events.append((self.revision, time.monotonic(), kind, item, deleted))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def forget_history(self):
        """Drops the changes that are older than the history."""
        while self.events and time.monotonic() - self.events[0][1] > self.history_s:
            self.oldest = self.events.pop(0)[0]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                while self.down:
                    await asyncio.sleep(0.05)
                status, text = await self.handle(method, target, body)
                self.calls.append((time.monotonic(), method, target, status, len(text)))
                text = text.encode()
                close = head[1].get("connection", "").lower() == "close"
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%s\r\n" % (
                    status, len(text), b"Connection: close\r\n" if close else b"") + text)
                await writer.drain()
                if close:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, body):
        path, _, query_text = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query_text.split("&") if part)
        parts = path.strip("/").split("/")
        if parts[:2] != ["-", "objects"] or len(parts) < 3:
            return 404, "{}"
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        held = self.objects.get((kind, name))
        if method == "GET" and "watch" in query:
            return await self.watch(kind, name, int(query["watch"]), int(query.get("wait_ms", "0")))
        if method == "GET" and name is None:
            items = [item["text"] for (each, _), item in sorted(self.objects.items()) if each == kind]
            return 200, '{"items":[%s],"has_more":false,"at":%d}' % (",".join(items), self.revision)
        if method == "GET":
            return (200, held["text"]) if held else (404, "{}")
        value = json.loads(body) if body else {}
        name = name or value.get("metadata", {}).get("name")
        held = self.objects.get((kind, name))
        if method == "POST":
            return (409, held["text"]) if held else (201, self.put(kind, name, value.get("spec"))["text"])
        if not held:
            return 404, "{}"
        rev = value.get("metadata", {}).get("rev") or int(query.get("rev", "0"))
        if rev and rev != held["rev"]:
            return 409, held["text"]
        if method == "DELETE":
            self.revision += 1
            del self.objects[(kind, name)]
            self.publish(kind, held, True)
            return 200, held["text"]
        return 200, self.put(kind, name, value.get("spec"))["text"]

    async def watch(self, kind, name, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            self.forget_history()
            if after < self.oldest:
                return 410, "{}"
            found = [(revision, '{"object":%s,"deleted":%s}' % (item["text"], "true" if deleted else "false"))
                     for revision, _, each, item, deleted in self.events
                     if revision > after and each == kind and name in (None, item["name"])]
            left = end - time.monotonic()
            if found or left <= 0:
                at = self.revision
                if self.paged and len(found) > 1:
                    kept, size = 1, len(found[0][1])
                    while kept < len(found) and size + len(found[kept][1]) <= 1 << 20:
                        size += len(found[kept][1])
                        kept += 1
                    at = found[kept - 1][0] if kept < len(found) else at
                    found = found[:kept]
                return 200, '{"events":[%s],"at":%d}' % (",".join(text for _, text in found), at)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Endpoint:
    """An application endpoint: runs requests, answers status checks and sends heartbeats."""

    def __init__(self, service, host, work_s=0.05, slots=9, drain_s=2.0):
        self.service, self.host, self.work_s, self.slots = service, host, work_s, slots
        self.id = "i-%s-%d" % (service, id(self) & 0xffffff)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.running = 0
        self.runs = []  # (monotonic time, request id, method, target, fields, body)
        self.answered = []
        self.answer = None  # coroutine of a case: (endpoint, start line, fields, body, reader, writer) -> keep the connection
        self.port = free_port(host)
        self.server = None
        self.beats = None
        self.control = None
        self.acks = []
        self.connections = set()

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)

    def begin_heartbeats(self, control):
        self.control = control
        self.beats = asyncio.ensure_future(self.heartbeat_loop())

    async def heartbeat_loop(self):
        while True:
            try:
                await asyncio.wait_for(self.heartbeat(), 1.0)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
                pass
            await asyncio.sleep(1.5)

    async def heartbeat(self):
        self.sequence += 1
        body = {"born": self.born, "address": self.address,
                "info": {"service": self.service, "version": "v1", "zone": "z-1", "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "cold_remaining": "0ms"}}
        status = await call(self.control, "POST", "/-/Instances.Heartbeat/" + self.id, body)
        if 200 <= status < 300:
            self.acks.append((time.monotonic(), self.state))
        return status

    async def deregister(self):
        return await call(self.control, "POST", "/-/Instances.Deregister/" + self.id, {"born": self.born})

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ")
                if target == "/health":
                    ready = self.state == "ready"
                    writer.write(b"HTTP/1.1 %s\r\nInstance-Id: %s\r\nServer-Load: %d,0,%d,100\r\nContent-Length: 0\r\n\r\n" % (
                        b"200 OK" if ready else b"503 Leaving", self.id.encode(), self.running, self.slots))
                    await writer.drain()
                    continue
                if not await self.run(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def run(self, head, reader, writer):
        line, fields = head
        method, target, _ = line.split(" ")
        request_id = fields.get("request-id", "")
        expected = fields.get("expect-instance")
        if expected is not None and expected != self.id:
            await read_body(reader, fields)
            writer.write(b"HTTP/1.1 421 Misdirected\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id.encode())
            await writer.drain()
            return True
        body = await read_body(reader, fields)
        self.runs.append((time.monotonic(), request_id, method, target, fields, body))
        self.running += 1
        try:
            if self.answer is not None:
                return await self.answer(self, line, fields, body, reader, writer)
            await asyncio.sleep(self.work_s)
            await self.reply(writer, request_id, b"done " + request_id.encode())
            return True
        finally:
            self.running -= 1

    async def reply(self, writer, request_id, body, status=b"200 OK", extra=b""):
        writer.write(b"HTTP/1.1 %s\r\nRequest-Id: %s\r\nResponse-Stamp: s-%s\r\nServer-Load: %d,0,%d,100\r\n%s"
                     b"Content-Length: %d\r\n\r\n" % (status, request_id.encode(), request_id.encode(),
                                                      max(self.running - 1, 0), self.slots, extra, len(body)) + body)
        await writer.drain()
        self.answered.append((time.monotonic(), request_id))


async def call(address, method, path, body):
    """One JSON call on a connection of its own; returns the status."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        text = json.dumps(body).encode()
        writer.write(b"%s %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                     b"Connection: close\r\n\r\n" % (method.encode(), path.encode(), len(text)) + text)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("no answer")
        return int(head[0].split(" ")[1])
    finally:
        writer.close()


SETTINGS = """[node]
id = "{id}"
service = "{service}"
availability_zone = "z-1"
cluster_secret = "mesh-of-{store}"
{first}
[listen]
callers = "{callers}"
peers = "{peers}"
registration = "{control}"
readiness = "{ready}"
metrics = "{metrics}"

[upstream]
address = "{upstream}"
drain_limit = "2000ms"

[store]
address = "{store}"

[retry]
ratio = 0.2
reserve = 64
window = "10s"

[limits]
stop = "6s"
descriptors = 4100

[log]
level = "debug"
"""


class Node:
    """A process of the program under review, started as the deploy file says."""

    def __init__(self, name, host, endpoint, store_address, folder):
        self.name, self.host, self.endpoint = name, host, endpoint
        ports = set()
        while len(ports) < 5:
            ports.add(free_port(host))
        self.callers, self.peers, self.control, self.ready, self.metrics = ("%s:%d" % (host, port) for port in ports)
        self.store = store_address
        self.settings = pathlib.Path(folder) / (name + ".toml")
        self.log_path = pathlib.Path(folder) / (name + ".log")
        self.process = None
        self.starts = 0

    async def start(self, first=True, stdout=None):
        self.settings.write_text(SETTINGS.format(
            id=self.name, service=self.endpoint.service, store=self.store, first="first_start = true" if first else "",
            callers=self.callers, peers=self.peers, control=self.control, ready=self.ready, metrics=self.metrics,
            upstream=self.endpoint.address))
        if not MESH.exists():
            raise CannotRun("target/bin/poplar-mesh is missing; run the build of the deploy file")
        self.starts += 1
        output = stdout if stdout is not None else open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(MESH), "--settings", str(self.settings), stdin=asyncio.subprocess.DEVNULL, stdout=output,
            stderr=asyncio.subprocess.DEVNULL, cwd=str(ROOT))
        if stdout is None:
            output.close()

    async def wait_ready(self, limit_s=15.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                if await asyncio.wait_for(call(self.ready, "GET", "/-/readiness", {}), 1.0) == 200:
                    return
            except (OSError, asyncio.TimeoutError, ConnectionError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(self.name + " did not become ready")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Answer:
    """What a consumer saw of one request."""

    def __init__(self, status, fields, body, error, sent, ended):
        self.status, self.fields, self.body, self.error = status, fields, body, error
        self.sent, self.ended = sent, ended

    def __str__(self):
        what = self.error or "%s %d bytes" % (self.status, len(self.body))
        return "%s after %.3f s" % (what, self.ended - self.sent)


class Consumer:
    """One connection of a consumer."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def open(self):
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)

    def send(self, method, target, host, request_id, deadline_ms, body=None, extra=b""):
        head = b"%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s" % (
            method.encode(), target.encode(), host.encode(), request_id.encode(), deadline_ms, extra)
        if body is not None:
            head += b"Content-Length: %d\r\n" % len(body)
        self.writer.write(head + b"\r\n" + (body or b""))

    async def receive(self, limit_s, sent=None):
        sent = time.monotonic() if sent is None else sent
        status, fields, body, error = None, {}, b"", None
        try:
            async def whole():
                nonlocal status, fields, body
                while True:
                    head = await read_head(self.reader)
                    if head is None:
                        raise ConnectionError("closed")
                    status, fields = int(head[0].split(" ")[1]), head[1]
                    if status >= 200:
                        break
                body = await read_body(self.reader, fields, True)
            await asyncio.wait_for(whole(), limit_s)
        except asyncio.TimeoutError:
            error = "no answer"
        except (ConnectionError, asyncio.IncompleteReadError, ValueError) as problem:
            error = "closed (%s)" % type(problem).__name__
        return Answer(status, fields, body, error, sent, time.monotonic())

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def ask(address, method, target, host, request_id, deadline_ms, body=None, limit_s=None, extra=b""):
    """One request on a connection of its own."""
    consumer = Consumer(address)
    sent = time.monotonic()
    try:
        await asyncio.wait_for(consumer.open(), 1.0)
        consumer.send(method, target, host, request_id, deadline_ms, body, extra)
        return await consumer.receive(limit_s or deadline_ms / 1000 + 1.0, sent)
    except (OSError, asyncio.TimeoutError) as problem:
        return Answer(None, {}, b"", "not connected (%s)" % type(problem).__name__, sent, time.monotonic())
    finally:
        consumer.close()


def configuration(version, services, routes, limits=None):
    """A configuration as the operator writes it; a route is (host, prefix, name, kind, service, timeout, attempts)."""
    listeners = {}
    for host, prefix, name, kind, service, timeout, attempts in routes:
        listeners.setdefault(host, []).append(
            {"name": name, "kind": kind, "target_latency": "300ms", "priority": 1, "public": False,
             "match": {"path_prefix": prefix},
             "action": {"service": service, "timeout": timeout, "max_attempts": attempts}})
    return {"version": "r%d" % version,
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms",
                                 "idle_timeout": "15000ms"},
            "base_version": "r%d" % max(version - 1, 1),
            "listeners": [{"host": host, "rules": rules} for host, rules in listeners.items()],
            "clusters": [{"name": name, "health_path": "/health", "max_connections": 260, "protocol": "h1",
                          "tls": False} for name in services]}


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def line(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))
        self.file.flush()


def play(case, record_path):
    """Runs a case and ends with its verdict: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    nodes = []

    async def whole():
        # A script that is stopped still ends the processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as folder:
            try:
                return await asyncio.wait_for(case(trouble, record, nodes, folder), 110)
            finally:
                for node in nodes:
                    await node.stop()
    try:
        broken = asyncio.run(whole())
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as problem:
        record.line("the case couldn't run: %r" % problem)
        print("could not run:", repr(problem))
        sys.exit(2)
    record.line("verdict: " + ("broken" if broken else "held"))
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
