#include "poplarport/http/client_pool.hpp"

#include <memory> // shared_ptr
#include <string> // string

#include "poplarport/http/server.hpp"
#include "poplarport/net/timer.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

// A pool of connections to a server that can forget them.
TEST_GROUP(client_pool)
{
    net::event_loop loop{};
    bool forgets{false}; ///< whether the server resets connections that are used again
    std::string keep_alive{};
    int answered{0};
    http::server server =
        http::server::builder{}
            .listen_on({"127.0.0.1", 0})
            .on_request([this](const std::shared_ptr<http::server_exchange>& exchange) { this->answer(*exchange); })
            .build(this->loop);
    http::client_pool pool{this->loop, this->server.address(), {}};
    std::unordered_map<std::uint16_t, int> requests{}; ///< by port of the connection

    void answer(http::server_exchange & exchange)
    {
        const bool is_reused = ++requests[exchange.caller().port] > 1;
        if (is_reused && forgets)
        {
            exchange.abort();
            return;
        }
        http::response_header head{.status = 200};
        if (!keep_alive.empty())
        {
            head.fields.add("Keep-Alive", keep_alive);
        }
        ++answered;
        http::respond(exchange, std::move(head), "done");
    }

    void wait(core::duration time)
    {
        bool expired = false;
        net::timer timer{loop, [&]
                         {
                             expired = true;
                         }};
        timer.schedule(time);
        while (!expired)
        {
            loop.run_once();
        }
    }

    // Sends a request over the pool; returns whether it was answered.
    bool call()
    {
        std::optional<bool> result;
        const auto connection = pool.acquire();
        http::request_header head{.method = "GET", .target = "/"};
        head.fields.add("Host", "test");
        connection->start(head, {.on_interim = {},
                                 .on_response_header = {},
                                 .on_body = {},
                                 .on_end = [&] { result = true; },
                                 .on_writable = {},
                                 .on_failed =
                                     [&](const http::client_failure&)
                                 {
                                     result = false;
                                 }});
        while (!result)
        {
            loop.run_once();
        }
        pool.release(connection);
        return *result;
    }
};

// Guards against a request that is lost on a connection that the upstream has announced to close.
TEST(client_pool, a_connection_is_not_used_beyond_its_stated_time)
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

// Guards against one lost request after the other at an upstream that forgets idle connections early.
TEST(client_pool, learns_how_long_idle_connections_are_kept)
{
    forgets = true;
    CHECK(call());
    wait(200ms);
    CHECK_FALSE(call());
    for (int repeat = 0; repeat < 3; ++repeat)
    {
        CHECK(call());
        wait(120ms);
    }
    LONGS_EQUAL(4, answered);
    LONGS_EQUAL(4, requests.size());
}

// Guards against busy connections that are given up because a request on one of them failed.
TEST(client_pool, a_failure_on_a_busy_connection_teaches_nothing)
{
    CHECK(call());
    forgets = true;
    CHECK_FALSE(call());
    forgets = false;
    CHECK(call());
    wait(200ms);
    CHECK(call());
    LONGS_EQUAL(2, requests.size());
}
