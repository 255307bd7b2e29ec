#include <chrono>   // milliseconds, seconds
#include <memory>   // make_unique, unique_ptr
#include <optional> // nullopt, optional
#include <string>   // string, to_string
#include <utility>  // move
#include <variant>  // get_if, holds_alternative
#include <vector>   // vector

#include "poplarport/http/server.hpp"
#include "poplarport/net/listener.hpp"
#include "poplarport/net/stream_socket.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/errors.hpp"
#include "poplarport/node/receiver.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

// An upstream that refuses its first request, and whose first connection then gets a second copy of that refusal where
// the next response is due.
class repeating_upstream
{
  public:
    explicit repeating_upstream(net::event_loop& loop)
        : listener(loop, {"127.0.0.1", 0},
                   [this](std::unique_ptr<net::stream_socket> accepted)
                   {
                       auto* const socket = this->sockets.emplace_back(std::move(accepted)).get();
                       const bool is_first = this->sockets.size() == 1;
                       socket->set_hooks({.on_connected = {},
                                          .on_bytes = [this, socket, is_first](std::string_view)
                                          { this->respond(*socket, is_first); },
                                          .on_drained = {},
                                          .on_closed = {}});
                   })
    {
    }

    [[nodiscard]] core::socket_address address() const
    {
        return this->listener.address();
    }

    int executed{0};

  private:
    void respond(net::stream_socket& socket, bool repeats_refusal)
    {
        this->executed += this->requests++ == 0 ? 0 : 1;
        socket.send(repeats_refusal ? "HTTP/1.1 503 Service Unavailable\r\nPoplar-Not-Run: true\r\nContent-Length: "
                                      "0\r\n\r\n"
                                    : "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
    }

    std::vector<std::unique_ptr<net::stream_socket>> sockets{};
    int requests{0};
    net::listener listener;
};

// An upstream whose responses do not end.
class endless_upstream
{
  public:
    endless_upstream(net::event_loop& loop, std::string response_start)
        : start(std::move(response_start)),
          listener(loop, {"127.0.0.1", 0},
                   [this](std::unique_ptr<net::stream_socket> accepted)
                   {
                       auto* const socket = this->sockets.emplace_back(std::move(accepted)).get();
                       const auto send_more = [socket]
                       {
                           // More than the kernel's buffers hold, so that the socket drains later.
                           socket->send(std::string(16U << 20U, 'x'));
                       };
                       socket->set_hooks({.on_connected = {},
                                          .on_bytes =
                                              [this, socket, send_more](std::string_view)
                                          {
                                              socket->send(this->start);
                                              send_more();
                                          },
                                          .on_drained = send_more,
                                          .on_closed = {}});
                   })
    {
    }

    [[nodiscard]] core::socket_address address() const
    {
        return this->listener.address();
    }

  private:
    std::string start;
    std::vector<std::unique_ptr<net::stream_socket>> sockets{};
    net::listener listener;
};

// A receiver with a peer that can serve a request within a given time.
struct receiver_with_peer
{
    net::event_loop loop{};
    node::call_protocol protocol{node::default_call_protocol()};
    core::duration peer_wait{1ms};
    int executed{0};
    std::unique_ptr<http::server> upstream{};
    std::unique_ptr<node::receiver> tested{};

    receiver_with_peer()
    {
        this->upstream = std::make_unique<http::server>(http::server::builder{}
                                                            .listen_on({"127.0.0.1", 0})
                                                            .on_request(
                                                                [this](const auto& exchange)
                                                                {
                                                                    ++this->executed;
                                                                    http::respond(*exchange, {.status = 200}, "done");
                                                                })
                                                            .build(this->loop));
        this->use_upstream(this->upstream->address());
    }

    void use_upstream(const core::socket_address& address)
    {
        node::receiver_limits limits;
        limits.slots = 4;
        limits.queue_length = 4;
        limits.connection_limit = 8;
        limits.bounds_starts = true;
        node::receiver::hooks hooks{.better_peers = [](core::duration) { return std::vector<core::node_id>{}; },
                                    .on_slot_free = {},
                                    .faster_peers =
                                        [this](double slowdown, core::duration service_time)
                                    {
                                        const bool is_faster = this->peer_wait < service_time * (slowdown - 1.0);
                                        return is_faster ? std::vector<core::node_id>{"n2"}
                                                         : std::vector<core::node_id>{};
                                    }};
        this->tested = std::make_unique<node::receiver>(this->loop, address, this->protocol, limits, std::move(hooks));
    }

    // Offers a request; returns its refusal, or nothing if the upstream executed it.
    std::optional<node::attempt_failure> offer()
    {
        std::optional<node::attempt_failure> failure;
        bool ended = false;
        node::received_call call;
        call.id = "r1";
        call.tenant = "-";
        call.traffic_class = "1:quote";
        call.deadline = this->loop.now() + 10s;
        http::request_header header{.method = "GET", .target = "/o/1"};
        header.fields.add("Host", "orders");
        const auto channel =
            this->tested->start(std::move(header), std::move(call),
                                {.on_interim = {},
                                 .on_response_header = [](http::response_header&, const node::response_context&) {},
                                 .on_body = {},
                                 .on_end = [&](const node::response_context&) { ended = true; },
                                 .on_writable = {},
                                 .on_failed =
                                     [&](const node::attempt_failure& value)
                                 {
                                     failure = value;
                                     ended = true;
                                 }});
        channel->finish_request();
        this->run_until(ended);
        return failure;
    }

    // Sends a status check; returns whether the upstream responded.
    bool check()
    {
        bool ended = false;
        bool has_responded = false;
        this->tested->check("/health", 10s,
                            [&](const http::response_header* response)
                            {
                                has_responded = response != nullptr;
                                ended = true;
                            });
        this->run_until(ended);
        return has_responded;
    }

    void run_until(bool& ended)
    {
        net::timer limit{this->loop, [&]
                         {
                             ended = true;
                             FAIL("the request did not end");
                         }};
        limit.schedule(5s);
        while (!ended)
        {
            this->loop.run_once();
        }
    }
};

} // namespace

TEST_GROUP(receiver){};

// An upstream writes an earlier refusal once more on a kept connection while it executes the refused request's second
// attempt. The attempt must not be reported as not run.
TEST(receiver, a_repeated_refusal_does_not_deny_that_the_request_was_executed)
{
    receiver_with_peer system;
    repeating_upstream upstream{system.loop};
    system.use_upstream(upstream.address());
    const auto refusal = system.offer();
    CHECK(refusal && refusal->reason == node::errc::upstream_shed);
    LONGS_EQUAL(0, upstream.executed);
    const auto second = system.offer();
    LONGS_EQUAL(1, upstream.executed);
    CHECK_FALSE(second && std::holds_alternative<attempts::refused>(second->event));
}

// Pattern: all nodes have just started, and a quarter of the VMs are slow. A request that starts on a slow VM stays
// slow to its end, so it must go to a faster peer although no service time has been measured yet.
TEST(receiver, the_first_request_is_not_started_on_a_slow_vm)
{
    receiver_with_peer system;
    system.tested->on_upstream_load({.slowdown_percent = 700});
    const auto refusal = system.offer();
    CHECK(refusal.has_value());
    CHECK(refusal->reason == node::errc::upstream_slowed);
    const auto* const event = std::get_if<attempts::refused>(&refusal->event);
    CHECK(event != nullptr && event->better_peers == std::vector<core::node_id>{"n2"});
    LONGS_EQUAL(0, system.executed);
    // Without a faster peer, the request is served here.
    system.peer_wait = 10s;
    CHECK_FALSE(system.offer().has_value());
    LONGS_EQUAL(1, system.executed);
}

// Pattern: an upstream in need names a limit that is far below what its slots would permit. Nodes that see only the
// short service times take it for the least loaded one, and most of what they send there is refused.
TEST(receiver, the_load_report_permits_no_more_requests_than_the_limit)
{
    receiver_with_peer system;
    system.tested->on_upstream_load({.slowdown_percent = 100});
    CHECK_FALSE(system.offer().has_value());
    for (const double limit : {1.0, 9.4, 120.0, 900.0})
    {
        system.tested->set_max_request_rate(limit);
        const auto report = system.tested->load();
        const std::chrono::duration<double> service_time = report.service_time;
        CHECK_TEXT(report.slots <= 1.01 * limit * service_time.count(), std::to_string(limit).c_str());
    }
    system.tested->set_max_request_rate(std::nullopt);
    LONGS_EQUAL(4, system.tested->load().slots);
    CHECK(system.tested->load().service_time < 100ms);
}

// An upstream sends bytes without end. The node must not read them until the deadline of the request, in which time it
// would exceed its memory limit (review/1), and a refusal must count as "not run" although its body does not end.
TEST(receiver, a_response_without_end_ends_the_attempt)
{
    struct endless_case
    {
        const char* name;
        const char* start;
        std::error_code reason;
        bool is_refused;
    };
    const endless_case cases[] = {
        {"line before a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", node::errc::upstream_failed,
         false},
        {"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", node::errc::upstream_failed, false},
        {"header section", "HTTP/1.1 200 OK\r\nX: ", node::errc::upstream_failed, false},
        {"body of a refusal", "HTTP/1.1 503 Service Unavailable\r\nPoplar-Not-Run: true\r\n\r\n",
         node::errc::upstream_shed, true},
        {"trailer of a refusal",
         "HTTP/1.1 503 Service Unavailable\r\nPoplar-Not-Run: true\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         node::errc::upstream_shed, true}};
    for (const auto& each : cases)
    {
        receiver_with_peer system;
        endless_upstream upstream{system.loop, each.start};
        system.use_upstream(upstream.address());
        const auto failure = system.offer();
        CHECK_TEXT(failure && failure->reason == each.reason, each.name);
        CHECK_EQUAL_TEXT(each.is_refused, std::holds_alternative<attempts::refused>(failure->event), each.name);
    }
}

// A status check whose response does not end must fail at once instead of reading until its time-out.
TEST(receiver, a_status_check_without_end_fails)
{
    for (const char* const start :
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"})
    {
        receiver_with_peer system;
        endless_upstream upstream{system.loop, start};
        system.use_upstream(upstream.address());
        CHECK_FALSE(system.check());
    }
}

// A node that stops destroys its receiver while a status check waits for a silent upstream. The end of the check's
// connection, or its time-out, must not reach the destroyed receiver: a third of the planned stops crashed
// (review/stop).
TEST(receiver, a_status_check_does_not_outlive_the_receiver)
{
    net::event_loop loop;
    std::vector<std::unique_ptr<net::stream_socket>> accepted;
    const net::listener silent_upstream{loop,
                                        {"127.0.0.1", 0},
                                        [&accepted](std::unique_ptr<net::stream_socket> socket)
                                        {
                                            accepted.push_back(std::move(socket));
                                        }};
    const auto protocol = node::default_call_protocol();
    node::receiver_limits limits;
    limits.connection_limit = 2;
    auto tested =
        std::make_unique<node::receiver>(loop, silent_upstream.address(), protocol, limits, node::receiver::hooks{});
    bool has_ended = false;
    const auto check = [&](core::duration timeout)
    {
        tested->check("/health", timeout, [&has_ended](const http::response_header*) { has_ended = true; });
    };
    check(50ms);
    check(10s);
    while (accepted.size() < 2)
    {
        loop.run_once();
    }
    tested.reset();
    accepted.clear();
    bool is_over = false;
    net::timer limit{loop, [&]
                     {
                         is_over = true;
                     }};
    limit.schedule(100ms);
    while (!is_over)
    {
        loop.run_once();
    }
    CHECK_FALSE(has_ended);
}
