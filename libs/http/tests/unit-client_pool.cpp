#include "poplarport/http/client_pool.hpp"

#include <memory> // shared_ptr
#include <string> // string

#include "poplarport/http/server.hpp"
#include "poplarport/net/timer.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

// A pool of connections to a server that can drop idle connections.
TEST_GROUP(client_pool)
{
    net::event_loop loop{};
    bool resets_reused_connections{false}; ///< whether the server resets connections that are used again
    std::string keep_alive{};
    int response_count{0};
    http::server server =
        http::server::builder{}
            .listen_on({"127.0.0.1", 0})
            .on_request([this](const std::shared_ptr<http::server_exchange>& exchange) { this->respond(*exchange); })
            .build(this->loop);
    http::client_pool pool{this->loop, this->server.address(), {}};
    std::unordered_map<std::uint16_t, int> requests{}; ///< by port of the connection

    void respond(http::server_exchange & exchange)
    {
        const bool is_reused = ++requests[exchange.caller().port] > 1;
        if (is_reused && resets_reused_connections)
        {
            exchange.abort();
            return;
        }
        http::response_header header{.status = 200};
        if (!keep_alive.empty())
        {
            header.fields.add("Keep-Alive", keep_alive);
        }
        ++response_count;
        http::respond(exchange, std::move(header), "done");
    }

    void wait(core::duration delay)
    {
        bool expired = false;
        net::timer timer{loop, [&]
                         {
                             expired = true;
                         }};
        timer.schedule(delay);
        while (!expired)
        {
            loop.run_once();
        }
    }

    // Sends a request over the pool; returns whether the response was complete.
    bool call()
    {
        std::optional<bool> succeeded;
        const auto connection = pool.acquire();
        http::request_header header{.method = "GET", .target = "/"};
        header.fields.add("Host", "test");
        connection->start(header, {.on_interim = {},
                                   .on_response_header = {},
                                   .on_body = {},
                                   .on_end = [&] { succeeded = true; },
                                   .on_writable = {},
                                   .on_failed =
                                       [&](const http::client_failure&)
                                   {
                                       succeeded = false;
                                   }});
        while (!succeeded)
        {
            loop.run_once();
        }
        pool.release(connection);
        return *succeeded;
    }
};

// A request on an idle connection is lost when the upstream closes it after the timeout stated in its Keep-Alive field.
TEST(client_pool, a_connection_is_not_reused_after_its_keep_alive_timeout)
{
    keep_alive = "timeout=1, max=100";
    CHECK(call());
    wait(300ms);
    CHECK(call());
    LONGS_EQUAL(1, requests.size());
    wait(600ms);
    CHECK(call());
    LONGS_EQUAL(2, requests.size());
}

// A server may write an earlier refusal once more where the next response is due. If the refused request is sent again
// on that connection, the copy counts as the response to it, although the server executes it.
TEST(client_pool, a_refused_request_is_not_repeated_on_the_same_connection)
{
    const auto first = this->pool.acquire("r1");
    this->pool.release(first, "r1");
    const auto other = this->pool.acquire("r2");
    POINTERS_EQUAL(first.get(), other.get());
    this->pool.release(other);
    const auto repeated = this->pool.acquire("r1");
    CHECK(repeated != first);
    this->pool.release(repeated);
    LONGS_EQUAL(2, this->pool.size());
    // At the connection limit, a connection of no use makes room for a new one.
    this->pool.set_connection_limit(2);
    const auto in_use = this->pool.acquire("r3");
    POINTERS_EQUAL(repeated.get(), in_use.get());
    const auto second_repeat = this->pool.acquire("r1");
    CHECK(second_repeat != nullptr && second_repeat != first);
    LONGS_EQUAL(2, this->pool.size());
    this->pool.release(in_use);
    this->pool.release(second_repeat);
}

// An upstream that silently drops idle connections causes one failed request after the other, unless the pool reuses
// connections for a shorter time after the first failure.
TEST(client_pool, a_dropped_connection_shortens_the_idle_limit)
{
    resets_reused_connections = true;
    CHECK(call());
    wait(200ms);
    CHECK_FALSE(call());
    for (int round = 0; round < 3; ++round)
    {
        CHECK(call());
        wait(120ms);
    }
    LONGS_EQUAL(4, response_count);
    LONGS_EQUAL(4, requests.size());
}

// A failure on a connection that was hardly idle has another cause. If it shortened the idle limit, connections in
// frequent use would be closed needlessly.
TEST(client_pool, a_failure_on_a_busy_connection_does_not_change_the_idle_limit)
{
    CHECK(call());
    resets_reused_connections = true;
    CHECK_FALSE(call());
    resets_reused_connections = false;
    CHECK(call());
    wait(200ms);
    CHECK(call());
    LONGS_EQUAL(2, requests.size());
}
