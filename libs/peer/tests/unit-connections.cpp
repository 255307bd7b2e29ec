#include "peer_fixture.hpp"

#include <deque>  // deque
#include <vector> // vector

#include <malloc.h>

#include "poplarport/net/listener.hpp"
#include "poplarport/net/stream_socket.hpp"
#include "poplarport/peer/errors.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace poplarport::test;
using namespace std::chrono_literals;

namespace
{

// Forwards connections to an address; the first one can be made to forward no more bytes while it stays open.
class forwarder
{
  public:
    forwarder(net::event_loop& owner, core::socket_address to)
        : loop(&owner), target(std::move(to)),
          accepting(owner, loopback,
                    [this](std::unique_ptr<net::stream_socket> socket) { this->accept(std::move(socket)); })
    {
    }

    [[nodiscard]] core::socket_address address() const
    {
        return this->accepting.address();
    }

    void stop_forwarding_first()
    {
        this->pairs.front().stopped = true;
    }

    [[nodiscard]] std::size_t connections() const
    {
        return this->pairs.size();
    }

  private:
    struct pair
    {
        std::unique_ptr<net::stream_socket> near{};
        std::unique_ptr<net::stream_socket> far{};
        bool stopped{false};
    };

    void accept(std::unique_ptr<net::stream_socket> socket)
    {
        auto& created = this->pairs.emplace_back();
        created.near = std::move(socket);
        created.far = net::stream_socket::connect(*this->loop, this->target, 5s, {});
        const auto forward = [&created](std::unique_ptr<net::stream_socket>& to)
        {
            return net::stream_socket::hooks{.on_connected = {},
                                             .on_bytes =
                                                 [&created, &to](std::string_view bytes)
                                             {
                                                 if (!created.stopped)
                                                 {
                                                     to->send(bytes);
                                                 }
                                             },
                                             .on_drained = {},
                                             .on_closed = {}};
        };
        created.near->set_hooks(forward(created.far));
        created.far->set_hooks(forward(created.near));
    }

    net::event_loop* loop;
    core::socket_address target;
    std::deque<pair> pairs{};
    net::listener accepting;
};

std::size_t heap_bytes()
{
    const auto information = ::mallinfo2();
    return information.uordblks + information.hblkhd;
}

} // namespace

TEST_GROUP(peer_connections)
{
    net::event_loop loop;

    peer::server serve(peer::server::call_hook hook)
    {
        return peer::server::builder{}.listen_on(loopback).on_call(std::move(hook)).build(this->loop);
    }

    peer::link connect(const core::socket_address& address)
    {
        return peer::link::builder{}.connect_to(address).build(this->loop);
    }
};

// Guards against calls that wait for ever on a connection that passes no bytes while new connections work.
TEST(peer_connections, silent_connection_fails_its_calls_and_is_replaced)
{
    const auto server = this->serve(
        [](const std::shared_ptr<peer::server_call>& call)
        {
            if (call->request().method != "GET")
            {
                call->set_hooks({});
                return;
            }
            http::respond(*call, {.status = 200}, "answer");
        });
    forwarder between{this->loop, server.address()};
    auto link = peer::link::builder{}
                    .connect_to(between.address())
                    .with_limits({.check_after = 30ms, .silent_after = 30ms})
                    .build(this->loop);
    call_result before;
    const auto first = link.start(make_head("GET", http::body_framing::none), collect(before));
    CHECK(run_until(this->loop, [&] { return before.ended; }));

    // An upstream that takes its time is no silence: the PING is answered.
    call_result slow;
    const auto second = link.start(make_head("POST", http::body_framing::none), collect(slow));
    CHECK(run_until(this->loop, [&] { return link.statistics().pings >= 3; }));
    CHECK_FALSE(slow.is_over());
    CHECK(link.statistics().round_trip.count() > 0);
    LONGS_EQUAL(0, link.statistics().silent);

    between.stop_forwarding_first();
    CHECK(run_until(this->loop, [&] { return slow.is_over(); }));
    CHECK(slow.failure->error == peer::errc::connection_silent);
    CHECK(slow.failure->not_run == peer::proof::none);
    LONGS_EQUAL(1, link.statistics().silent);
    call_result after;
    const auto third = link.start(make_head("GET", http::body_framing::none), collect(after));
    CHECK(run_until(this->loop, [&] { return after.is_over(); }));
    CHECK(after.ended);
    LONGS_EQUAL(2, between.connections());
}

// Guards against an idle connection whose silence is found only by the next call.
TEST(peer_connections, idle_silent_connection_is_closed)
{
    const auto server = this->serve([](const std::shared_ptr<peer::server_call>& call)
                                    { http::respond(*call, {.status = 200}, "answer"); });
    forwarder between{this->loop, server.address()};
    auto link = peer::link::builder{}
                    .connect_to(between.address())
                    .with_limits({.silent_after = 20ms, .idle_check_after = 40ms})
                    .build(this->loop);
    call_result result;
    const auto call = link.start(make_head("GET", http::body_framing::none), collect(result));
    CHECK(run_until(this->loop, [&] { return result.ended; }));
    between.stop_forwarding_first();
    CHECK(run_until(this->loop, [&] { return link.statistics().silent == 1; }));
    CHECK_FALSE(link.is_connected());
}

// Guards against a paused reader that does not hold the sender back, or that holds other streams back.
TEST(peer_connections, paused_readers_hold_only_their_own_streams_back)
{
    constexpr std::size_t window_bytes = 65536;
    const auto data = make_data(1'000'000, 1);
    std::shared_ptr<peer::server_call> paused;
    std::string received;
    const auto server = this->serve(
        [&](const std::shared_ptr<peer::server_call>& call)
        {
            if (call->request().method == "GET")
            {
                http::respond(*call, {.status = 200}, data);
                return;
            }
            paused = call;
            call->set_reading(false);
            call->set_hooks({.on_body = [&](std::string_view bytes) { received.append(bytes); },
                             .on_body_end = [&] { http::respond(*paused, {.status = 200}, ""); },
                             .on_writable = {},
                             .on_cancelled = {}});
        });
    auto link = this->connect(server.address());
    call_result upload;
    const auto sender = link.start(make_head("POST", http::body_framing::fixed, data.size()), collect(upload));
    sender->send_body(data);
    sender->finish_request();
    call_result download;
    const auto reader = link.start(make_head("GET", http::body_framing::none), collect(download));
    reader->set_reading(false);
    call_result other;
    const auto unaffected = link.start(make_head("GET", http::body_framing::none), collect(other));
    CHECK(run_until(this->loop, [&] { return other.is_over(); }));
    CHECK(other.body == data);
    LONGS_EQUAL(data.size() - window_bytes, sender->pending_bytes());
    LONGS_EQUAL(0, received.size());
    LONGS_EQUAL(0, download.body.size());
    reader->set_reading(true);
    paused->set_reading(true);
    CHECK(run_until(this->loop, [&] { return upload.is_over() && download.is_over(); }));
    CHECK(upload.ended);
    CHECK(received == data);
    CHECK(download.body == data);
}

// Guards against memory that grows with the length of a body.
TEST(peer_connections, long_body_keeps_memory_bounded)
{
    constexpr std::size_t total_bytes = 100'000'000;
    constexpr std::size_t bound_bytes = 2'000'000;
    const std::string piece = make_data(65536, 3);
    const auto server = this->serve(echo);
    auto link = this->connect(server.address());
    call_result warm_up;
    const auto first = link.start(make_head("POST", http::body_framing::none), collect(warm_up));
    CHECK(run_until(this->loop, [&] { return warm_up.ended; }));

    std::size_t sent = 0;
    std::size_t received = 0;
    std::size_t greatest = 0;
    bool ended = false;
    std::shared_ptr<peer::client_call> call;
    const auto send_piece = [&]
    {
        while (sent < total_bytes && call->pending_bytes() < piece.size())
        {
            const auto count = std::min(piece.size(), total_bytes - sent);
            call->send_body(std::string_view{piece}.substr(0, count));
            sent += count;
        }
        if (sent == total_bytes)
        {
            call->finish_request();
        }
    };
    const auto before = heap_bytes();
    call = link.start(make_head("POST", http::body_framing::chunked), {.on_interim = {},
                                                                       .on_head = {},
                                                                       .on_body =
                                                                           [&](std::string_view bytes)
                                                                       {
                                                                           received += bytes.size();
                                                                           greatest = std::max(greatest, heap_bytes());
                                                                       },
                                                                       .on_end = [&] { ended = true; },
                                                                       .on_writable = send_piece,
                                                                       .on_failed = {}});
    send_piece();
    CHECK(run_until(
        this->loop, [&] { return ended; }, 60s));
    LONGS_EQUAL(total_bytes, received);
    CHECK(greatest < before + bound_bytes);
}
