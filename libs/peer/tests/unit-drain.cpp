#include "raw_peer.hpp"

#include <vector> // vector

#include "poplarport/peer/errors.hpp"

using namespace poplarport;
using namespace poplarport::test;
using namespace std::chrono_literals;

TEST_GROUP_BASE(peer_drain, peer_test)
{
    std::vector<std::shared_ptr<peer::server_call>> calls;
    bool drained{false};

    peer::server serve_pending()
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

// A planned stop must not interrupt calls in progress or lose a call sent before the client received the GOAWAY.
TEST(peer_drain, streams_in_flight_finish_and_then_sessions_close)
{
    auto server = this->serve_pending();
    auto link = this->connect(server.address());
    call_result first;
    const auto early = post(link, first);
    CHECK(this->until([&] { return this->calls.size() == 1; }));
    server.drain();
    server.stop_listening();
    // Started before the first GOAWAY can have been received.
    call_result second;
    const auto racing = post(link, second);
    CHECK(this->until([&] { return this->calls.size() == 2; }));
    CHECK(this->until([&] { return !link.is_connected(); }));
    CHECK_FALSE(server.is_drained());
    LONGS_EQUAL(2, server.stream_count());
    const auto body = make_data(500'000, 2);
    for (const auto& call : this->calls)
    {
        http::respond(*call, {.status = 200}, body);
    }
    CHECK(this->until([&] { return first.is_finished() && second.is_finished() && this->drained; }));
    CHECK(first.ended && first.body == body);
    CHECK(second.ended && second.body == body);
    CHECK(server.is_drained());
    LONGS_EQUAL(0, server.session_count());
}

// A client that does not acknowledge the PING, or no client at all, must not prevent the end of the drain.
TEST(peer_drain, drain_finishes_without_responding_clients)
{
    auto idle = this->serve_pending();
    idle.drain();
    CHECK(this->until([&] { return this->drained; }));

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
        socket_hooks([&](std::string_view bytes) { received.append(bytes); }, {},
                     [&] { socket->send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + settings()); }));
    CHECK(this->until([&] { return server.session_count() == 1 && !received.empty(); }));
    server.drain();
    CHECK(this->until([&] { return this->drained; }));
    // Both GOAWAY frames were sent: the maximum stream id, then the last one processed.
    CHECK(received.find(goaway(0x7fffffff)) != std::string::npos);
    CHECK(received.find(goaway(0)) > received.find(goaway(0x7fffffff)));
    CHECK(received.find(goaway(0)) != std::string::npos);
}

// The second GOAWAY proves to the client that later calls do not run, so the server must not run them.
TEST(peer_drain, calls_after_the_second_goaway_do_not_run)
{
    auto server = this->serve_pending();
    auto link = this->connect(server.address());
    call_result first;
    const auto early = post(link, first);
    CHECK(this->until([&] { return this->calls.size() == 1; }));
    server.drain();
    CHECK(this->until([&] { return !link.is_connected(); }));
    server.stop_listening();
    call_result late;
    const auto refused = post(link, late);
    CHECK(this->until_finished(late));
    CHECK(late.failure->not_run == peer::proof::not_sent);
    LONGS_EQUAL(1, this->calls.size());
    http::respond(*this->calls.front(), {.status = 200}, "whole");
    CHECK(this->until([&] { return first.is_finished() && this->drained; }));
    CHECK(first.ended);
}
