#include "small_mesh.hpp"

using namespace poplarport;
using namespace std::chrono_literals;

TEST_GROUP(mesh_node){};

// Guards against a node that answers before it knows the routes, and against routes that lead to another service.
TEST(mesh_node, requests_reach_the_service_of_their_route_from_every_node)
{
    mesh::small_mesh mesh{{"orders", "stock"}};
    auto& orders = *mesh.members[0];
    auto& stock = *mesh.members[1];
    LONGS_EQUAL(503, mesh.call(orders, "/o/1"));
    CHECK_FALSE(orders.node->respond_to_readiness_check());
    mesh.configure("1 /o/=orders /s/=stock");
    CHECK_FALSE(mesh.announce(orders));
    CHECK_FALSE(mesh.announce(stock));
    CHECK(mesh.becomes(orders, "/s/1", 200));
    CHECK(mesh.becomes(stock, "/o/1", 200));
    CHECK(orders.node->respond_to_readiness_check());
    LONGS_EQUAL(404, mesh.call(orders, "/x/1"));
    LONGS_EQUAL(400, mesh.call(orders, "http://b.example/o/1"));
    LONGS_EQUAL(200, mesh.call(orders, "http://a.example/o/1"));
    for (const auto& target : orders.ran)
    {
        CHECK(target.find("/o/") != std::string::npos);
    }
    for (const auto& target : stock.ran)
    {
        CHECK(target.starts_with("/s/"));
    }
}

// Guards against work for an upstream that leaves, and against one that never gets work again after a new start.
TEST(mesh_node, a_draining_upstream_gets_no_work)
{
    mesh::small_mesh mesh{{"orders", "orders"}};
    mesh.configure("1 /o/=orders");
    auto& first = *mesh.members[0];
    auto& second = *mesh.members[1];
    CHECK_FALSE(mesh.announce(first));
    CHECK_FALSE(mesh.announce(second));
    CHECK(mesh.becomes(first, "/o/1", 200));
    CHECK(mesh.becomes(second, "/o/1", 200));
    CHECK_FALSE(mesh.announce(first, true));
    const auto before = first.ran.size();
    for (int request = 0; request < 20; ++request)
    {
        LONGS_EQUAL(200, mesh.call(first, "/o/1"));
        LONGS_EQUAL(200, mesh.call(second, "/o/1"));
    }
    LONGS_EQUAL(before, first.ran.size());
}

// Guards against a node that forgets with its process that its upstream has left.
TEST(mesh_node, a_departure_outlives_the_process)
{
    mesh::small_mesh mesh{{"orders"}};
    mesh.configure("1 /o/=orders");
    auto& only = *mesh.members[0];
    CHECK_FALSE(mesh.announce(only));
    CHECK(mesh.becomes(only, "/o/1", 200));
    CHECK_FALSE(mesh.announce(only, true));
    mesh.kill(only);
    mesh.start(only);
    mesh.wait(200ms);
    const auto before = only.ran.size();
    // A late word from before the departure.
    static_cast<void>(mesh.announce(only, false));
    LONGS_EQUAL(503, mesh.call(only, "/o/1"));
    LONGS_EQUAL(before, only.ran.size());
}

// Guards against a node that the store turns away and that stays with an old configuration, and against one that
// falls back to an older version.
TEST(mesh_node, a_version_reaches_nodes_that_the_store_turns_away)
{
    mesh::small_mesh mesh{{"orders", "orders"}};
    mesh.configure("1 /o/=orders");
    auto& first = *mesh.members[0];
    auto& second = *mesh.members[1];
    CHECK_FALSE(mesh.announce(first));
    CHECK_FALSE(mesh.announce(second));
    CHECK(mesh.becomes(second, "/o/1", 200));
    second.objects->refuses = true;
    std::erase_if(mesh.content.watches, [](const auto&) { return true; });
    mesh.wait(300ms);
    mesh.kill(first);
    mesh.configure("2 /o/=orders /n/=orders");
    mesh.start(first);
    CHECK_FALSE(mesh.announce(first));
    CHECK(mesh.becomes(second, "/n/1", 200));
    mesh.configure("1 /o/=orders");
    mesh.wait(200ms);
    LONGS_EQUAL(200, mesh.call(first, "/n/1"));
    LONGS_EQUAL(200, mesh.call(second, "/n/1"));
}

// Guards against a failure of one upstream that reaches the caller although another one would have served it.
TEST(mesh_node, a_repeatable_request_that_fails_is_tried_elsewhere)
{
    mesh::small_mesh mesh{{"orders", "orders"}};
    mesh.configure("1 /o/=orders");
    auto& first = *mesh.members[0];
    auto& second = *mesh.members[1];
    CHECK_FALSE(mesh.announce(first));
    CHECK_FALSE(mesh.announce(second));
    CHECK(mesh.becomes(first, "/o/1", 200));
    mesh.wait(300ms);
    first.status = 500;
    LONGS_EQUAL(200, mesh.call(first, "/o/2"));
    second.status = 502;
    const int status = mesh.call(first, "/o/3");
    CHECK(status == 500 || status == 502);
}

// Guards against a stop that cuts callers off or never ends.
TEST(mesh_node, a_planned_stop_ends_within_its_limit)
{
    mesh::small_mesh mesh{{"orders"}};
    mesh.configure("1 /o/=orders");
    auto& only = *mesh.members[0];
    CHECK_FALSE(mesh.announce(only));
    CHECK(mesh.becomes(only, "/o/1", 200));
    only.node->drain();
    LONGS_EQUAL(200, mesh.call(only, "/o/1"));
    CHECK_FALSE(only.node->respond_to_readiness_check());
    CHECK_FALSE(only.node->respond_to_readiness_check());
    const auto begin = mesh.loop.now();
    mesh.run_until([&] { return only.stopped; });
    CHECK(mesh.loop.now() - begin < 3s);
}

// Guards against a request that waits at a leaving upstream and starts after its drain limit, where the limit is
// shorter than that of the first installations.
TEST(mesh_node, waiting_requests_do_not_outlast_the_drain_limit)
{
    mesh::small_mesh mesh{{"orders"}};
    auto& only = *mesh.members[0];
    mesh.kill(only);
    only.settings.drain_limit = 400ms;
    mesh.start(only);
    mesh.configure("1 /o/=orders");
    CHECK_FALSE(mesh.announce(only));
    CHECK(mesh.becomes(only, "/o/1", 200));
    only.holds_answers = true;
    int refused = 0;
    constexpr std::size_t sent = 6;
    std::vector<std::shared_ptr<http::client_connection>> connections;
    connections.reserve(sent);
    for (std::size_t request = 0; request < sent; ++request)
    {
        connections.push_back(mesh.send(only, "/o/2", [&](int status) { refused += status == 503 ? 1 : 0; }));
    }
    mesh.wait(50ms);
    CHECK_FALSE(mesh.announce(only, true));
    mesh.wait(390ms);
    // Four run in the upstream's slots, and two waited.
    LONGS_EQUAL(2, refused);
    for (const auto& each : connections)
    {
        each->abort();
    }
}

// Guards against an upstream that works on for a caller that has left, where another node took the call.
TEST(mesh_node, the_upstream_of_another_node_learns_that_the_caller_has_left)
{
    mesh::small_mesh mesh{{"orders", "stock"}};
    mesh.configure("1 /o/=orders /s/=stock");
    auto& orders = *mesh.members[0];
    auto& stock = *mesh.members[1];
    CHECK_FALSE(mesh.announce(orders));
    CHECK_FALSE(mesh.announce(stock));
    CHECK(mesh.becomes(orders, "/s/1", 200));
    stock.holds_answers = true;
    const auto connection = mesh.send(orders, "/s/2", [](int) {});
    mesh.run_until([&] { return !stock.held.empty(); });
    connection->abort();
    const auto begin = mesh.loop.now();
    mesh.run_until([&] { return stock.cancelled == 1; });
    CHECK(mesh.loop.now() - begin < 500ms);
}

// Guards against an upstream that is given up because it calls itself ill, while it serves all its requests.
TEST(mesh_node, an_upstream_that_only_calls_itself_ill_stays_in_use)
{
    mesh::small_mesh mesh{{"orders"}};
    mesh.configure("1 /o/=orders");
    auto& only = *mesh.members[0];
    CHECK_FALSE(mesh.announce(only));
    CHECK(mesh.becomes(only, "/o/1", 200));
    only.health_status = 503;
    mesh.wait(400ms);
    LONGS_EQUAL(200, mesh.call(only, "/o/2"));
}

// Guards against requests that fail while their upstream goes down and up, and against one that never gets work again.
TEST(mesh_node, requests_pass_by_an_upstream_that_is_down_until_it_is_back)
{
    mesh::small_mesh mesh{{"orders", "orders"}};
    mesh.configure("1 /o/=orders");
    auto& first = *mesh.members[0];
    auto& second = *mesh.members[1];
    CHECK_FALSE(mesh.announce(first));
    CHECK_FALSE(mesh.announce(second));
    CHECK(mesh.becomes(first, "/o/1", 200));
    CHECK(mesh.becomes(second, "/o/1", 200));
    const auto address = first.settings.upstream;
    for (int turn = 0; turn < 3; ++turn)
    {
        first.upstream.reset();
        for (int request = 0; request < 10; ++request)
        {
            LONGS_EQUAL(200, mesh.call(first, "/o/2"));
            mesh.wait(30ms);
        }
        mesh.start_upstream(first, address);
        const auto before = first.ran.size();
        const auto limit = mesh.loop.now() + 3s;
        while (first.ran.size() == before && mesh.loop.now() < limit)
        {
            LONGS_EQUAL(200, mesh.call(first, "/o/3"));
            mesh.wait(20ms);
        }
        CHECK(first.ran.size() > before);
    }
}

// Guards against a version that reaches no node because the store turns away all of those that watch it.
TEST(mesh_node, others_watch_the_store_in_place_of_those_that_it_turns_away)
{
    constexpr std::size_t turned_away = 6;
    mesh::small_mesh mesh{std::vector<std::string>(turned_away + 2, "orders")};
    mesh.configure("1 /o/=orders");
    for (const auto& each : mesh.members)
    {
        CHECK_FALSE(mesh.announce(*each));
        CHECK(mesh.becomes(*each, "/o/1", 200));
    }
    // At its start each node watches; the next change ends those watches.
    mesh.configure("2 /o/=orders");
    mesh.wait(500ms);
    std::size_t refused = 0;
    for (const auto& each : mesh.members)
    {
        if (each->objects->has_watch())
        {
            each->objects->turn_away();
            ++refused;
        }
    }
    LONGS_EQUAL(turned_away, refused);
    mesh.configure("3 /o/=orders /n/=orders");
    for (const auto& each : mesh.members)
    {
        CHECK(mesh.becomes(*each, "/n/1", 200));
    }
}
