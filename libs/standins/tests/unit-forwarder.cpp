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

// A caller's connection with what it has received.
struct caller
{
    std::unique_ptr<net::stream_socket> socket{};
    std::string received{};
    std::optional<std::error_code> closed{};
};

// A forwarder before a server that returns each byte.
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
        auto made = std::make_unique<caller>();
        auto* const raw = made.get();
        made->socket =
            net::stream_socket::connect(this->loop, this->forwarder->address(), 5s,
                                        {.on_connected = {},
                                         .on_bytes = [raw](std::string_view bytes) { raw->received.append(bytes); },
                                         .on_drained = {},
                                         .on_closed =
                                             [raw](std::error_code reason)
                                         {
                                             raw->closed = reason;
                                         }});
        return made;
    }

    // Runs the loop until the condition holds, for a bounded time.
    bool run_until(const std::function<bool()>& condition, core::duration limit = 10s)
    {
        bool expired = false;
        net::timer timer{this->loop, [&]
                         {
                             expired = true;
                         }};
        timer.schedule(limit);
        while (!condition() && !expired)
        {
            this->loop.run_once();
        }
        return !expired;
    }

    bool exchange(caller& used, const std::string& text)
    {
        used.received.clear();
        used.socket->send(text);
        return this->run_until([&] { return used.received == text; });
    }

    net::event_loop loop{};
    std::vector<std::unique_ptr<net::stream_socket>> accepted{};
    std::optional<std::error_code> server_closed{};
    net::listener echo;
    std::unique_ptr<standins::forwarder> forwarder;
};

} // namespace

TEST_GROUP(forwarder){};

// Guards against lost or reordered bytes when both sides hold each other back.
TEST(forwarder, carries_bytes_and_the_end_in_both_directions)
{
    fixture tested;
    const auto used = tested.connect();
    std::string text(4'000'000, 'x');
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        text[index] = static_cast<char>(index * 31 % 251);
    }
    CHECK(tested.exchange(*used, text));
    used->socket->close();
    CHECK(tested.run_until([&] { return tested.server_closed.has_value(); }));
    CHECK(*tested.server_closed == net::errc::connection_closed);
    CHECK(tested.run_until([&] { return tested.forwarder->counts().open == 0; }));
    CHECK_EQUAL(text.size(), tested.forwarder->counts().bytes_to_caller);
}

// Guards against a silence that also takes new connections, or that passes the end of a connection on.
TEST(forwarder, silence_holds_open_connections_while_new_ones_work)
{
    fixture tested;
    const auto old = tested.connect();
    CHECK(tested.exchange(*old, "before"));
    tested.forwarder->silence(standins::forward_direction::both);
    CHECK_EQUAL(1U, tested.forwarder->counts().silent);
    old->received.clear();
    old->socket->send("during");
    const auto fresh = tested.connect();
    CHECK(tested.exchange(*fresh, "new"));
    CHECK(old->received.empty());
    old->socket->close();
    CHECK(!tested.run_until([&] { return tested.server_closed.has_value(); }, 50ms));
    tested.forwarder->silence(standins::forward_direction::none);
    CHECK(tested.run_until([&] { return tested.server_closed.has_value(); }));
}

// Guards against a silent direction that stops the other one.
TEST(forwarder, one_direction_can_be_silent)
{
    fixture tested;
    const auto used = tested.connect();
    CHECK(tested.exchange(*used, "before"));
    tested.forwarder->silence(standins::forward_direction::to_caller);
    used->received.clear();
    used->socket->send("during");
    CHECK(tested.run_until([&] { return tested.forwarder->counts().bytes_to_target == 12; }));
    CHECK(!tested.run_until([&] { return !used->received.empty(); }, 50ms));
    tested.forwarder->silence(standins::forward_direction::none);
    CHECK(tested.run_until([&] { return used->received == "during"; }));
}

// Guards against a cut that looks like an orderly end.
TEST(forwarder, cut_resets_both_sides)
{
    fixture tested;
    const auto used = tested.connect();
    CHECK(tested.exchange(*used, "before"));
    tested.forwarder->cut();
    CHECK(tested.run_until([&] { return used->closed && tested.server_closed; }));
    CHECK(*used->closed == net::errc::connection_reset);
    CHECK(*tested.server_closed == net::errc::connection_reset);
    CHECK(tested.run_until([&] { return tested.forwarder->counts().open == 0; }));
}

// Guards against a connection that is accepted although it should fail.
TEST(forwarder, new_connections_can_be_refused)
{
    fixture tested;
    tested.forwarder->set_faults({.refuse_new = true});
    const auto refused = tested.connect();
    CHECK(tested.run_until([&] { return refused->closed.has_value(); }));
    tested.forwarder->set_faults({});
    const auto used = tested.connect();
    CHECK(tested.exchange(*used, "works"));
}

// Guards against bytes that arrive before the delay is over.
TEST(forwarder, delay_holds_bytes)
{
    fixture tested;
    tested.forwarder->set_faults({.delay = 100ms});
    const auto used = tested.connect();
    const auto start = tested.loop.now();
    CHECK(tested.exchange(*used, "delayed"));
    CHECK(tested.loop.now() - start >= 200ms);
}

// Guards against a rate above the limit.
TEST(forwarder, rate_is_limited)
{
    fixture tested;
    constexpr double bytes_per_second = 20'000.0;
    constexpr double piece_bytes = 1'000.0;
    tested.forwarder->set_faults({.bytes_per_second = 20'000});
    const auto used = tested.connect();
    const auto start = tested.loop.now();
    const std::string text(6'000, 'x');
    CHECK(tested.exchange(*used, text));
    const std::chrono::duration<double> taken = tested.loop.now() - start;
    CHECK(static_cast<double>(text.size()) <= taken.count() * bytes_per_second + piece_bytes);
}

// Guards against a fault that a misspelt key or value leaves silently unchanged.
TEST(forwarder, faults_are_checked)
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
