#include <chrono>       // milliseconds
#include <functional>   // function
#include <memory>       // unique_ptr
#include <optional>     // optional
#include <set>          // set
#include <stdexcept>    // invalid_argument
#include <string>       // string
#include <system_error> // error_code

#include "poplarport/net/errors.hpp"
#include "poplarport/net/listener.hpp"
#include "poplarport/net/stream_socket.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/standins/forwarder/forwarder.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

const core::socket_address loopback{"127.0.0.1", 0};

// A caller's connection, with the bytes that it received.
struct caller
{
    std::unique_ptr<net::stream_socket> socket{};
    std::string received{};
    std::optional<std::error_code> closed{};
};

// A forwarder whose target is an echo server.
struct fixture
{
    fixture()
        : echo(loop, loopback, [this](std::unique_ptr<net::stream_socket> socket) { this->accept(std::move(socket)); }),
          forwarder(std::make_unique<standins::forwarder>(
              loop, standins::forwarder::settings{
                        .listen = loopback, .target = echo.address(), .control = {}, .initial_faults = {}}))
    {
    }

    void accept(std::unique_ptr<net::stream_socket> socket)
    {
        auto* const raw = socket.get();
        raw->set_hooks({.on_connected = {},
                        .on_bytes = [raw](std::string_view bytes) { raw->send(bytes); },
                        .on_drained = {},
                        .on_closed =
                            [this](std::error_code reason)
                        {
                            this->server_closed = reason;
                        }});
        this->accepted.push_back(std::move(socket));
    }

    std::unique_ptr<caller> connect()
    {
        auto result = std::make_unique<caller>();
        auto* const raw = result.get();
        result->socket =
            net::stream_socket::connect(this->loop, this->forwarder->address(), 5s,
                                        {.on_connected = {},
                                         .on_bytes = [raw](std::string_view bytes) { raw->received.append(bytes); },
                                         .on_drained = {},
                                         .on_closed =
                                             [raw](std::error_code reason)
                                         {
                                             raw->closed = reason;
                                         }});
        return result;
    }

    // Runs the loop until the condition holds or the time is up.
    bool run_until(const std::function<bool()>& condition, core::duration timeout = 10s)
    {
        bool expired = false;
        net::timer timer{this->loop, [&]
                         {
                             expired = true;
                         }};
        timer.schedule(timeout);
        while (!condition() && !expired)
        {
            this->loop.run_once();
        }
        return !expired;
    }

    bool exchange(caller& connection, const std::string& text)
    {
        connection.received.clear();
        connection.socket->send(text);
        return this->run_until([&] { return connection.received == text; });
    }

    net::event_loop loop{};
    std::vector<std::unique_ptr<net::stream_socket>> accepted{};
    std::optional<std::error_code> server_closed{};
    net::listener echo;
    std::unique_ptr<standins::forwarder> forwarder;
};

} // namespace

TEST_GROUP(forwarder){};

// Bytes could be lost or reordered when both directions pause reading because of full buffers.
TEST(forwarder, forwards_bytes_and_the_end_in_both_directions)
{
    fixture tested;
    const auto connection = tested.connect();
    std::string text(4'000'000, 'x');
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        text[index] = static_cast<char>(index * 31 % 251);
    }
    CHECK(tested.exchange(*connection, text));
    connection->socket->close();
    CHECK(tested.run_until([&] { return tested.server_closed.has_value(); }));
    CHECK(*tested.server_closed == net::errc::connection_closed);
    CHECK(tested.run_until([&] { return tested.forwarder->counts().open == 0; }));
    CHECK_EQUAL(text.size(), tested.forwarder->counts().bytes_to_caller);
}

// A silence must not affect connections opened later, and must not forward the end of a silenced connection.
TEST(forwarder, silence_affects_only_open_connections)
{
    fixture tested;
    const auto existing = tested.connect();
    CHECK(tested.exchange(*existing, "before"));
    tested.forwarder->silence(standins::forward_direction::both);
    CHECK_EQUAL(1U, tested.forwarder->counts().silent);
    existing->received.clear();
    existing->socket->send("during");
    const auto added = tested.connect();
    CHECK(tested.exchange(*added, "new"));
    CHECK(existing->received.empty());
    existing->socket->close();
    CHECK(!tested.run_until([&] { return tested.server_closed.has_value(); }, 50ms));
    tested.forwarder->silence(standins::forward_direction::none);
    CHECK(tested.run_until([&] { return tested.server_closed.has_value(); }));
}

// A silent direction must not pause the opposite one, which shares its sockets.
TEST(forwarder, silence_of_one_direction_leaves_the_other_open)
{
    fixture tested;
    const auto connection = tested.connect();
    CHECK(tested.exchange(*connection, "before"));
    tested.forwarder->silence(standins::forward_direction::to_caller);
    connection->received.clear();
    connection->socket->send("during");
    CHECK(tested.run_until([&] { return tested.forwarder->counts().bytes_to_target == 12; }));
    CHECK(!tested.run_until([&] { return !connection->received.empty(); }, 50ms));
    tested.forwarder->silence(standins::forward_direction::none);
    CHECK(tested.run_until([&] { return connection->received == "during"; }));
}

// Both sockets must report a reset; a cut could otherwise look like an orderly close.
TEST(forwarder, reset_connections_resets_both_sockets)
{
    fixture tested;
    const auto connection = tested.connect();
    CHECK(tested.exchange(*connection, "before"));
    tested.forwarder->reset_connections();
    CHECK(tested.run_until([&] { return connection->closed && tested.server_closed; }));
    CHECK(*connection->closed == net::errc::connection_reset);
    CHECK(*tested.server_closed == net::errc::connection_reset);
    CHECK(tested.run_until([&] { return tested.forwarder->counts().open == 0; }));
}

// With refuse_new, a new connection would be forwarded if the fault were not checked on accept.
TEST(forwarder, refuse_new_resets_new_connections)
{
    fixture tested;
    tested.forwarder->set_faults({.refuse_new = true});
    const auto refused = tested.connect();
    CHECK(tested.run_until([&] { return refused->closed.has_value(); }));
    tested.forwarder->set_faults({});
    const auto connection = tested.connect();
    CHECK(tested.exchange(*connection, "works"));
}

// Bytes must not arrive before the delay has passed twice, once in each direction.
TEST(forwarder, delay_applies_to_both_directions)
{
    fixture tested;
    tested.forwarder->set_faults({.delay = 100ms});
    const auto connection = tested.connect();
    const auto start = tested.loop.now();
    CHECK(tested.exchange(*connection, "delayed"));
    CHECK(tested.loop.now() - start >= 200ms);
}

// The forwarded bytes may exceed the rate by one piece at most.
TEST(forwarder, rate_stays_below_the_limit)
{
    fixture tested;
    constexpr double bytes_per_second = 20'000.0;
    constexpr double piece_bytes = 1'000.0;
    tested.forwarder->set_faults({.bytes_per_second = 20'000});
    const auto connection = tested.connect();
    const auto start = tested.loop.now();
    const std::string text(6'000, 'x');
    CHECK(tested.exchange(*connection, text));
    const std::chrono::duration<double> elapsed = tested.loop.now() - start;
    CHECK(static_cast<double>(text.size()) <= elapsed.count() * bytes_per_second + piece_bytes);
}

// A misspelt key or value must be reported; a test would otherwise run without the fault that it set.
TEST(forwarder, invalid_faults_are_rejected)
{
    const auto merged = standins::merge_forwarder_faults({.delay = 5ms}, R"({"new_connections":"both"})");
    CHECK(merged.delay == 5ms);
    CHECK(merged.new_connections == standins::forward_direction::both);
    for (const auto* text : {"", "[]", R"({"delay":1})", R"({"delay_ms":-1})", R"({"new_connections":"all"})",
                             R"({"refuse_new":0})", R"({"bytes_per_second":"1k"})"})
    {
        CHECK_THROWS(std::invalid_argument, (void)standins::merge_forwarder_faults({}, text));
    }
}
