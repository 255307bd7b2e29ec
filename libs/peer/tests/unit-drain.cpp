#include "raw_peer.hpp"

#include <vector> // vector

#include "poplarport/peer/errors.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace poplarport::test;
using namespace std::chrono_literals;

TEST_GROUP(peer_drain)
{
    net::event_loop loop;
    std::vector<std::shared_ptr<peer::server_call>> calls;
    bool drained{false};

    peer::server serve()
    {
        return peer::server::builder{}
            .listen_on(loopback)
            .on_call(
                [this](const std::shared_ptr<peer::server_call>& call)
                {
                    call->set_hooks({});
                    this->calls.push_back(call);
                })
            .on_drained([this] { this->drained = true; })
            .build(this->loop);
    }
};

// Guards against a planned stop that breaks a call in flight, or that loses a call sent before the client knew of it.
TEST(peer_drain, streams_in_flight_finish_and_then_sessions_close)
{
    auto server = this->serve();
    auto link = peer::link::builder{}.connect_to(server.address()).build(this->loop);
    call_result first;
    const auto early = link.start(make_head("POST", http::body_framing::none), collect(first));
    CHECK(run_until(this->loop, [&] { return this->calls.size() == 1; }));
    server.drain();
    server.stop_listening();
    // Started before the first GOAWAY can have arrived.
    call_result second;
    const auto racing = link.start(make_head("POST", http::body_framing::none), collect(second));
    CHECK(run_until(this->loop, [&] { return this->calls.size() == 2; }));
    CHECK(run_until(this->loop, [&] { return !link.is_connected(); }));
    CHECK_FALSE(server.is_drained());
    LONGS_EQUAL(2, server.stream_count());
    const auto body = make_data(500'000, 2);
    for (const auto& call : this->calls)
    {
        http::respond(*call, {.status = 200}, body);
    }
    CHECK(run_until(this->loop, [&] { return first.is_over() && second.is_over() && this->drained; }));
    CHECK(first.ended && first.body == body);
    CHECK(second.ended && second.body == body);
    CHECK(server.is_drained());
    LONGS_EQUAL(0, server.session_count());
}

// Guards against a drain that never ends because a client does not answer, or because there is no client.
TEST(peer_drain, server_without_answering_clients_drains)
{
    auto idle = this->serve();
    idle.drain();
    CHECK(run_until(this->loop, [&] { return this->drained; }));

    this->drained = false;
    auto server = peer::server::builder{}
                      .listen_on(loopback)
                      .on_drained([this] { this->drained = true; })
                      .with_limits({.drain_step = 20ms})
                      .build(this->loop);
    std::string received;
    std::unique_ptr<net::stream_socket> socket;
    socket = net::stream_socket::connect(
        this->loop, server.address(), 5s,
        {.on_connected = [&] { socket->send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + settings()); },
         .on_bytes = [&](std::string_view bytes) { received.append(bytes); },
         .on_drained = {},
         .on_closed = {}});
    CHECK(run_until(this->loop, [&] { return server.session_count() == 1 && !received.empty(); }));
    server.drain();
    CHECK(run_until(this->loop, [&] { return this->drained; }));
    // Both steps were sent: the greatest stream id, then the last one processed.
    CHECK(received.find(goaway(0x7fffffff)) != std::string::npos);
    CHECK(received.find(goaway(0)) > received.find(goaway(0x7fffffff)));
    CHECK(received.find(goaway(0)) != std::string::npos);
}

// Guards against a call after the second GOAWAY that runs although the client was told that it does not.
TEST(peer_drain, calls_after_the_second_goaway_do_not_run)
{
    auto server = this->serve();
    auto link = peer::link::builder{}.connect_to(server.address()).build(this->loop);
    call_result first;
    const auto early = link.start(make_head("POST", http::body_framing::none), collect(first));
    CHECK(run_until(this->loop, [&] { return this->calls.size() == 1; }));
    server.drain();
    CHECK(run_until(this->loop, [&] { return !link.is_connected(); }));
    server.stop_listening();
    call_result late;
    const auto refused = link.start(make_head("POST", http::body_framing::none), collect(late));
    CHECK(run_until(this->loop, [&] { return late.is_over(); }));
    CHECK(late.failure->not_run == peer::proof::not_sent);
    LONGS_EQUAL(1, this->calls.size());
    http::respond(*this->calls.front(), {.status = 200}, "whole");
    CHECK(run_until(this->loop, [&] { return first.is_over() && this->drained; }));
    CHECK(first.ended);
}
