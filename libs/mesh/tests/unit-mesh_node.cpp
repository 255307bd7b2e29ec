#include "small_mesh.hpp"

using namespace poplarport;
using namespace std::chrono_literals;

TEST_GROUP(mesh_node){};

// A node without routes must refuse requests and report that it is not ready. With routes, every node must send a
// request to the service of its route and to no other.
TEST(mesh_node, requests_reach_the_service_of_their_route_from_every_node)
{
    mesh::small_mesh mesh{{"orders", "stock"}};
    auto& orders = *mesh.members[0];
    auto& stock = *mesh.members[1];
    LONGS_EQUAL(503, mesh.call(orders, "/o/1"));
    CHECK_FALSE(orders.node->respond_to_readiness_check());
    mesh.configure("1 /o/=orders /s/=stock");
    CHECK_FALSE(mesh.send_heartbeat(orders));
    CHECK_FALSE(mesh.send_heartbeat(stock));
    CHECK(mesh.eventually_responds(orders, "/s/1", 200));
    CHECK(mesh.eventually_responds(stock, "/o/1", 200));
    CHECK(orders.node->respond_to_readiness_check());
    LONGS_EQUAL(404, mesh.call(orders, "/x/1"));
    LONGS_EQUAL(400, mesh.call(orders, "http://b.example/o/1"));
    LONGS_EQUAL(200, mesh.call(orders, "http://a.example/o/1"));
    for (const auto& target : orders.executed)
    {
        CHECK(target.find("/o/") != std::string::npos);
    }
    for (const auto& target : stock.executed)
    {
        CHECK(target.starts_with("/s/"));
    }
}

// A node that has received the heartbeat of a draining upstream must send it no more work, also when its peers have not
// yet received the update.
TEST(mesh_node, a_draining_upstream_gets_no_work)
{
    mesh::small_mesh mesh{{"orders", "orders"}};
    mesh.configure("1 /o/=orders");
    auto& first = *mesh.members[0];
    auto& second = *mesh.members[1];
    CHECK_FALSE(mesh.send_heartbeat(first));
    CHECK_FALSE(mesh.send_heartbeat(second));
    CHECK(mesh.eventually_responds(first, "/o/1", 200));
    CHECK(mesh.eventually_responds(second, "/o/1", 200));
    CHECK_FALSE(mesh.send_heartbeat(first, true));
    const auto before = first.executed.size();
    for (int request = 0; request < 20; ++request)
    {
        LONGS_EQUAL(200, mesh.call(first, "/o/1"));
        LONGS_EQUAL(200, mesh.call(second, "/o/1"));
    }
    LONGS_EQUAL(before, first.executed.size());
}

// A heartbeat may be seconds late. An upstream that states in its responses that it leaves must get no more work from
// any node, also when a heartbeat from before says that it is ready; the next instance must get work again.
TEST(mesh_node, an_upstream_that_states_that_it_leaves_gets_no_work)
{
    mesh::small_mesh mesh{{"orders", "orders"}};
    mesh.configure("1 /o/=orders");
    auto& first = *mesh.members[0];
    auto& second = *mesh.members[1];
    CHECK_FALSE(mesh.send_heartbeat(first));
    CHECK_FALSE(mesh.send_heartbeat(second));
    CHECK(mesh.eventually_responds(first, "/o/1", 200));
    CHECK(mesh.eventually_responds(second, "/o/1", 200));
    first.is_leaving = true;
    const auto before = first.executed.size();
    for (int request = 0; request < 20; ++request)
    {
        LONGS_EQUAL(200, mesh.call(first, "/o/1"));
        LONGS_EQUAL(200, mesh.call(second, "/o/1"));
    }
    CHECK(first.executed.size() <= before + 1);
    CHECK_FALSE(mesh.send_heartbeat(first));
    const auto after = first.executed.size();
    for (int request = 0; request < 20; ++request)
    {
        LONGS_EQUAL(200, mesh.call(first, "/o/1"));
    }
    LONGS_EQUAL(after, first.executed.size());
}

// A restarted node has forgotten the limit that its upstream has named and the statement that it leaves. A heartbeat
// that says that the upstream is ready must not let the node send more work than the upstream takes.
TEST(mesh_node, a_restarted_node_keeps_to_what_its_upstream_stated_before)
{
    struct statement_case
    {
        const char* name;
        bool is_leaving;
        std::optional<double> max_request_rate;
        std::size_t max_executed; ///< within half a second
    };
    const statement_case cases[] = {{"leaving", true, std::nullopt, 0}, {"limited", false, 0.5, 1}};
    for (const auto& each : cases)
    {
        mesh::small_mesh mesh{{"orders"}};
        mesh.configure("1 /o/=orders");
        auto& only = *mesh.members[0];
        CHECK_FALSE(mesh.send_heartbeat(only));
        CHECK(mesh.eventually_responds(only, "/o/1", 200));
        only.is_leaving = each.is_leaving;
        only.max_request_rate = each.max_request_rate;
        only.states_in_checks = true;
        mesh.kill(only);
        only.executed.clear();
        only.holds_responses = true;
        mesh.start(only);
        static_cast<void>(mesh.send_heartbeat(only));
        std::vector<std::shared_ptr<http::client_connection>> connections;
        for (int request = 0; request < 50; ++request)
        {
            connections.push_back(mesh.send(only, "/o/2", [](int) {}));
            mesh.wait(10ms);
        }
        CHECK_TEXT(only.executed.size() <= each.max_executed, each.name);
        for (const auto& connection : connections)
        {
            connection->abort();
        }
    }
}

// A deregistration that is held only in memory is lost with the process; the restarted node would then send work to the
// upstream again.
TEST(mesh_node, a_deregistration_outlasts_the_process)
{
    mesh::small_mesh mesh{{"orders"}};
    mesh.configure("1 /o/=orders");
    auto& only = *mesh.members[0];
    CHECK_FALSE(mesh.send_heartbeat(only));
    CHECK(mesh.eventually_responds(only, "/o/1", 200));
    CHECK_FALSE(mesh.send_heartbeat(only, true));
    mesh.kill(only);
    mesh.start(only);
    mesh.wait(200ms);
    const auto before = only.executed.size();
    // A late heartbeat from before the deregistration.
    static_cast<void>(mesh.send_heartbeat(only, false));
    LONGS_EQUAL(503, mesh.call(only, "/o/1"));
    LONGS_EQUAL(before, only.executed.size());
}

// Earlier versions of the program kept the deregistration in the status of the node's object. A node that is replaced
// by this version must still find it there.
TEST(mesh_node, a_deregistration_stored_by_an_earlier_version_is_found)
{
    mesh::small_mesh mesh{{"orders"}};
    mesh.configure("1 /o/=orders");
    auto& only = *mesh.members[0];
    mesh.kill(only);
    mesh.content.put("poplar-nodes", "n1", R"({"peer":")" + core::to_string(only.settings.listen.peers) + R"("})");
    mesh.content.objects[{"poplar-nodes", "n1"}].status = R"({"departed":"i-n1@100"})";
    mesh.start(only);
    mesh.wait(200ms);
    static_cast<void>(mesh.send_heartbeat(only, false));
    LONGS_EQUAL(503, mesh.call(only, "/o/1"));
    LONGS_EQUAL(0, only.executed.size());
}

// The failure of one upstream must not reach the caller while another upstream can serve the request.
TEST(mesh_node, a_failed_repeatable_request_is_retried_on_another_upstream)
{
    mesh::small_mesh mesh{{"orders", "orders"}};
    mesh.configure("1 /o/=orders");
    auto& first = *mesh.members[0];
    auto& second = *mesh.members[1];
    CHECK_FALSE(mesh.send_heartbeat(first));
    CHECK_FALSE(mesh.send_heartbeat(second));
    CHECK(mesh.eventually_responds(first, "/o/1", 200));
    mesh.wait(300ms);
    first.status = 500;
    LONGS_EQUAL(200, mesh.call(first, "/o/2"));
    second.status = 502;
    const int status = mesh.call(first, "/o/3");
    CHECK(status == 500 || status == 502);
}

// Pattern: an upstream stops responding while its connections stay open. A repeatable request must not wait for its
// deadline while another upstream is free, and must not be reported as failed.
TEST(mesh_node, a_late_repeatable_request_is_sent_to_a_second_upstream)
{
    mesh::small_mesh mesh{{"orders", "orders"}};
    mesh.configure("1 /o/=orders");
    auto& first = *mesh.members[0];
    auto& second = *mesh.members[1];
    CHECK_FALSE(mesh.send_heartbeat(first));
    CHECK_FALSE(mesh.send_heartbeat(second));
    CHECK(mesh.eventually_responds(first, "/o/1", 200));
    CHECK(mesh.eventually_responds(second, "/o/1", 200));
    for (int request = 0; request < 30; ++request)
    {
        LONGS_EQUAL(200, mesh.call(first, "/o/2"));
    }
    first.holds_responses = true;
    const auto begin = mesh.loop.now();
    LONGS_EQUAL(200, mesh.call(first, "/o/3"));
    CHECK(mesh.loop.now() - begin < 1s);
    mesh.run_until([&] { return first.cancelled == static_cast<int>(first.held_exchanges.size()); });
}

// After the first start of an installation, its settings no longer say so. A reload must not ask for a restart then,
// but must for a setting that takes effect only at a start.
TEST(mesh_node, the_end_of_the_first_start_needs_no_restart)
{
    mesh::small_mesh mesh{{"orders"}};
    auto& only = *mesh.members[0];
    mesh.kill(only);
    only.settings.is_first_start = true;
    mesh.start(only);
    auto changed = only.settings;
    changed.is_first_start = false;
    changed.retry.reserve = 7;
    CHECK(only.node->apply(changed));
    changed.service = "stock";
    CHECK_FALSE(only.node->apply(changed));
}

// A planned stop must neither refuse the requests that callers still send nor exceed its time limit.
TEST(mesh_node, a_planned_stop_ends_within_its_limit)
{
    mesh::small_mesh mesh{{"orders"}};
    mesh.configure("1 /o/=orders");
    auto& only = *mesh.members[0];
    CHECK_FALSE(mesh.send_heartbeat(only));
    CHECK(mesh.eventually_responds(only, "/o/1", 200));
    only.node->drain();
    LONGS_EQUAL(200, mesh.call(only, "/o/1"));
    CHECK_FALSE(only.node->respond_to_readiness_check());
    CHECK_FALSE(only.node->respond_to_readiness_check());
    const auto begin = mesh.loop.now();
    mesh.run_until([&] { return only.stopped; });
    CHECK(mesh.loop.now() - begin < 3s);
}

// Pattern: in a planned stop, requests arrive so late in the grace time that they cannot end in it. At its end their
// connections must not be cut without a response, and a request that was not sent to the upstream must be reported as
// not run.
TEST(mesh_node, a_planned_stop_responds_to_every_request)
{
    mesh::small_mesh mesh{{"orders"}};
    mesh.configure("1 /o/=orders");
    auto& only = *mesh.members[0];
    CHECK_FALSE(mesh.send_heartbeat(only));
    CHECK(mesh.eventually_responds(only, "/o/1", 200));
    only.holds_responses = true;
    only.node->drain();
    const auto begin = mesh.loop.now();
    mesh.wait(2200ms);
    constexpr std::size_t slots = 4;
    constexpr std::size_t sent = slots + 2;
    std::map<int, std::size_t> statuses;
    std::vector<std::shared_ptr<http::client_connection>> connections;
    for (std::size_t request = 0; request < sent; ++request)
    {
        connections.push_back(mesh.send(only, "/o/2", [&](int status) { ++statuses[status]; }));
    }
    mesh.run_until([&] { return only.stopped; });
    only.node.reset();
    CHECK(mesh.loop.now() - begin <= only.settings.stop_limit);
    mesh.wait(50ms);
    LONGS_EQUAL(slots, only.held_exchanges.size());
    LONGS_EQUAL(slots, statuses[504]);
    LONGS_EQUAL(sent - slots, statuses[503]);
    for (const auto& each : connections)
    {
        each->abort();
    }
}

// A request in the queue of a draining upstream must be refused at the drain limit instead of starting later. The limit
// is a setting, shorter here than that of the first installations.
TEST(mesh_node, waiting_requests_do_not_outlast_the_drain_limit)
{
    mesh::small_mesh mesh{{"orders"}};
    auto& only = *mesh.members[0];
    mesh.kill(only);
    only.settings.drain_limit = 400ms;
    mesh.start(only);
    mesh.configure("1 /o/=orders");
    CHECK_FALSE(mesh.send_heartbeat(only));
    CHECK(mesh.eventually_responds(only, "/o/1", 200));
    only.holds_responses = true;
    int refused = 0;
    constexpr std::size_t sent = 6;
    std::vector<std::shared_ptr<http::client_connection>> connections;
    connections.reserve(sent);
    for (std::size_t request = 0; request < sent; ++request)
    {
        connections.push_back(mesh.send(only, "/o/2", [&](int status) { refused += status == 503 ? 1 : 0; }));
    }
    mesh.wait(50ms);
    CHECK_FALSE(mesh.send_heartbeat(only, true));
    mesh.wait(390ms);
    // Four requests occupy the upstream's slots; two were in the queue.
    LONGS_EQUAL(2, refused);
    for (const auto& each : connections)
    {
        each->abort();
    }
}

// When the caller disconnects, an upstream that a peer node has called would work on for nobody unless the cancellation
// reaches it.
TEST(mesh_node, the_upstream_of_another_node_is_notified_that_the_caller_has_disconnected)
{
    mesh::small_mesh mesh{{"orders", "stock"}};
    mesh.configure("1 /o/=orders /s/=stock");
    auto& orders = *mesh.members[0];
    auto& stock = *mesh.members[1];
    CHECK_FALSE(mesh.send_heartbeat(orders));
    CHECK_FALSE(mesh.send_heartbeat(stock));
    CHECK(mesh.eventually_responds(orders, "/s/1", 200));
    stock.holds_responses = true;
    const auto connection = mesh.send(orders, "/s/2", [](int) {});
    mesh.run_until([&] { return !stock.held_exchanges.empty(); });
    connection->abort();
    const auto begin = mesh.loop.now();
    mesh.run_until([&] { return stock.cancelled == 1; });
    CHECK(mesh.loop.now() - begin < 500ms);
}

// An upstream that fails its health check but serves all its requests must stay in use.
TEST(mesh_node, an_upstream_whose_health_check_alone_fails_stays_in_use)
{
    mesh::small_mesh mesh{{"orders"}};
    mesh.configure("1 /o/=orders");
    auto& only = *mesh.members[0];
    CHECK_FALSE(mesh.send_heartbeat(only));
    CHECK(mesh.eventually_responds(only, "/o/1", 200));
    only.health_status = 503;
    mesh.wait(400ms);
    LONGS_EQUAL(200, mesh.call(only, "/o/2"));
}

// Requests must succeed while an upstream stops and restarts, and the upstream must receive work again after each
// restart.
TEST(mesh_node, requests_avoid_an_upstream_while_it_is_down)
{
    mesh::small_mesh mesh{{"orders", "orders"}};
    mesh.configure("1 /o/=orders");
    auto& first = *mesh.members[0];
    auto& second = *mesh.members[1];
    CHECK_FALSE(mesh.send_heartbeat(first));
    CHECK_FALSE(mesh.send_heartbeat(second));
    CHECK(mesh.eventually_responds(first, "/o/1", 200));
    CHECK(mesh.eventually_responds(second, "/o/1", 200));
    const auto address = first.settings.upstream;
    for (int restart = 0; restart < 3; ++restart)
    {
        first.upstream.reset();
        for (int request = 0; request < 10; ++request)
        {
            LONGS_EQUAL(200, mesh.call(first, "/o/2"));
            mesh.wait(30ms);
        }
        mesh.start_upstream(first, address);
        const auto before = first.executed.size();
        const auto limit = mesh.loop.now() + 3s;
        while (first.executed.size() == before && mesh.loop.now() < limit)
        {
            LONGS_EQUAL(200, mesh.call(first, "/o/3"));
            mesh.wait(20ms);
        }
        CHECK(first.executed.size() > before);
    }
}
