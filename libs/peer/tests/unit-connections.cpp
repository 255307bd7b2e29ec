#include "peer_fixture.hpp"

#include <algorithm> // max, min, ranges::all_of
#include <array>     // array
#include <deque>     // deque
#include <limits>    // numeric_limits
#include <set>       // set
#include <vector>    // vector

#include <malloc.h>

#include "poplarport/net/listener.hpp"
#include "poplarport/net/stream_socket.hpp"
#include "poplarport/peer/errors.hpp"

using namespace poplarport;
using namespace poplarport::test;
using namespace std::chrono_literals;

namespace
{

// Forwards connections to an address. The first connection can stop forwarding while it stays open, or be reset after a
// number of bytes. Bytes to the address can be delayed as by a narrow network link.
class forwarder
{
  public:
    forwarder(net::event_loop& owner, core::socket_address to)
        : loop(&owner), target(std::move(to)),
          listener(owner, loopback,
                   [this](std::unique_ptr<net::stream_socket> socket) { this->accept(std::move(socket)); })
    {
    }

    [[nodiscard]] core::socket_address address() const
    {
        return this->listener.address();
    }

    void stop_forwarding_first()
    {
        this->pairs.front().stopped = true;
    }

    void cut_first()
    {
        if (!this->pairs.empty())
        {
            this->pairs.front().near->reset();
            this->pairs.front().far->reset();
        }
    }

    std::size_t cut_after_bytes{std::numeric_limits<std::size_t>::max()};
    std::size_t bytes_per_step{0}; ///< forwarded to the address every ten milliseconds; zero for all at once

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
        std::string delayed{};
        std::unique_ptr<net::timer> step{};
    };

    void forward_step(pair& on)
    {
        const auto count = std::min(on.delayed.size(), this->bytes_per_step);
        on.far->send(on.delayed.substr(0, count));
        on.delayed.erase(0, count);
        on.step->schedule(10ms);
    }

    void accept(std::unique_ptr<net::stream_socket> socket)
    {
        auto& created = this->pairs.emplace_back();
        created.near = std::move(socket);
        created.far = net::stream_socket::connect(*this->loop, this->target, 5s, {});
        const auto forward = [this, &created](std::unique_ptr<net::stream_socket>& to)
        {
            return socket_hooks(
                [this, &created, &to](std::string_view bytes)
                {
                    if (created.stopped)
                    {
                        return;
                    }
                    const auto count = std::min(bytes.size(), this->cut_after_bytes);
                    to->send(bytes.substr(0, count));
                    this->cut_after_bytes -= count;
                    if (count < bytes.size())
                    {
                        this->cut_first();
                    }
                });
        };
        created.near->set_hooks(forward(created.far));
        if (this->bytes_per_step > 0)
        {
            created.near->set_hooks(socket_hooks([&created](std::string_view bytes) { created.delayed += bytes; }));
            created.step = std::make_unique<net::timer>(*this->loop, [this, &created] { this->forward_step(created); });
            created.step->schedule(10ms);
        }
        created.far->set_hooks(forward(created.near));
    }

    net::event_loop* loop;
    core::socket_address target;
    std::deque<pair> pairs{};
    net::listener listener;
};

std::size_t heap_bytes()
{
    const auto information = ::mallinfo2();
    return information.uordblks + information.hblkhd;
}

} // namespace

TEST_GROUP_BASE(peer_connections, peer_test){};

// Without the liveness check, calls would wait forever on a connection that forwards no bytes while new ones work.
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
    auto link = this->connect(between.address(), {.check_after = 30ms, .silent_after = 30ms});
    call_result before;
    const auto first = get(link, before);
    CHECK(this->until([&] { return before.ended; }));

    // A slow upstream does not make the connection silent: the PING is acknowledged.
    call_result slow;
    const auto second = post(link, slow);
    CHECK(this->until([&] { return link.statistics().pings >= 3; }));
    CHECK_FALSE(slow.is_finished());
    CHECK(link.statistics().round_trip.count() > 0);
    LONGS_EQUAL(0, link.statistics().silent);

    between.stop_forwarding_first();
    CHECK(this->until_finished(slow));
    CHECK(slow.failure->error == peer::errc::connection_silent);
    CHECK(slow.failure->not_run == peer::proof::none);
    LONGS_EQUAL(1, link.statistics().silent);
    call_result after;
    const auto third = get(link, after);
    CHECK(this->until_finished(after));
    CHECK(after.ended);
    LONGS_EQUAL(2, between.connections());
}

// Pattern: an upload over a narrow link. The PING waits behind the body, so its response is late although the
// connection works; a connection that is closed then loses an upload that may have run. A silent connection is still
// detected.
TEST(peer_connections, an_upload_over_a_narrow_link_does_not_make_the_connection_silent)
{
    constexpr std::size_t body_bytes = 60'000;
    const auto server = this->serve(
        [](const std::shared_ptr<peer::server_call>& call) {
            call->set_hooks(
                call_hooks([](std::string_view) {}, [call] { http::respond(*call, {.status = 200}, "stored"); }));
        });
    forwarder between{this->loop, server.address()};
    between.bytes_per_step = 500;
    auto link = this->connect(between.address(), {.check_after = 100ms, .silent_after = 100ms});
    call_result result;
    const auto call = link.start(make_request_header("POST", http::body_framing::fixed, body_bytes), collect(result));
    call->send_body(make_data(body_bytes, 1));
    call->finish_request();
    CHECK(this->until_finished(result));
    CHECK(result.ended);
    LONGS_EQUAL(0, link.statistics().silent);

    between.bytes_per_step = 0;
    call_result lost;
    const auto second = link.start(make_request_header("POST", http::body_framing::fixed, body_bytes), collect(lost));
    second->send_body(make_data(body_bytes, 2));
    second->finish_request();
    CHECK(this->until_finished(lost));
    CHECK(lost.failure && lost.failure->error == peer::errc::connection_silent);
}

// Pattern: all connections become silent while they are busy with small calls. The allowance for uploads must not delay
// that this is noticed, because configurations and membership of the other side would be late by seconds.
TEST(peer_connections, a_busy_connection_without_uploads_is_found_silent_at_once)
{
    constexpr std::size_t body_bytes = 4'000;
    const auto server = this->serve(
        [](const std::shared_ptr<peer::server_call>& call) {
            call->set_hooks(
                call_hooks([](std::string_view) {}, [call] { http::respond(*call, {.status = 200}, "stored"); }));
        });
    forwarder between{this->loop, server.address()};
    auto link = this->connect(between.address(), {.check_after = 30ms, .silent_after = 30ms});
    const auto send = [&link](call_result& result)
    {
        auto call = link.start(make_request_header("POST", http::body_framing::fixed, body_bytes), collect(result));
        call->send_body(make_data(body_bytes, 1));
        call->finish_request();
        return call;
    };
    for (int number = 0; number < 50; ++number)
    {
        call_result result;
        const auto call = send(result);
        CHECK(this->until_finished(result));
        CHECK(result.ended);
    }
    between.stop_forwarding_first();
    const auto begin = this->loop.now();
    call_result lost;
    const auto call = send(lost);
    CHECK(this->until_finished(lost));
    CHECK(lost.failure && lost.failure->error == peer::errc::connection_silent);
    CHECK(this->loop.now() - begin < 500ms);
}

// Pattern: nested lookups with a short time limit go over the same narrow link as uploads. A lookup must not wait
// behind whole bodies, only behind what the flow-control window lets each upload have on its way.
TEST(peer_connections, a_small_call_does_not_wait_behind_the_bodies_of_uploads)
{
    constexpr std::size_t body_bytes = 60'000;
    const auto server = this->serve(
        [](const std::shared_ptr<peer::server_call>& call)
        {
            if (call->request().method == "GET")
            {
                http::respond(*call, {.status = 200}, "found");
                return;
            }
            call->set_hooks(
                call_hooks([](std::string_view) {}, [call] { http::respond(*call, {.status = 200}, "stored"); }));
        });
    forwarder between{this->loop, server.address()};
    between.bytes_per_step = 1000;
    auto link = this->connect(between.address(), {});
    // Until the SETTINGS of the other side have arrived, HTTP/2's default window applies.
    call_result first;
    const auto warm_up = get(link, first);
    CHECK(this->until_finished(first));
    std::vector<std::shared_ptr<peer::client_call>> calls;
    std::array<call_result, 2> uploads;
    for (auto& each : uploads)
    {
        calls.push_back(link.start(make_request_header("POST", http::body_framing::fixed, body_bytes), collect(each)));
        calls.back()->send_body(make_data(body_bytes, 1));
        calls.back()->finish_request();
    }
    CHECK(this->until([&] { return link.statistics().bytes_out > 30'000; }));
    call_result lookup;
    const auto begin = this->loop.now();
    const auto call = get(link, lookup);
    CHECK(this->until_finished(lookup));
    // Both windows take 330 ms on the link, both bodies 1200 ms.
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(this->loop.now() - begin);
    CHECK(lookup.ended);
    CHECK_TEXT(took < 600ms, std::to_string(took.count()).c_str());
    CHECK(this->until([&] { return uploads[0].ended && uploads[1].ended; }));
}

// Without the liveness check of idle connections, only the next call would detect that the connection is silent.
TEST(peer_connections, idle_silent_connection_is_closed)
{
    const auto server = this->serve([](const std::shared_ptr<peer::server_call>& call)
                                    { http::respond(*call, {.status = 200}, "answer"); });
    forwarder between{this->loop, server.address()};
    auto link = this->connect(between.address(), {.silent_after = 20ms, .idle_check_after = 40ms});
    call_result result;
    const auto call = get(link, result);
    CHECK(this->until([&] { return result.ended; }));
    between.stop_forwarding_first();
    CHECK(this->until([&] { return link.statistics().silent == 1; }));
    CHECK_FALSE(link.is_connected());
}

// A paused reader must limit its sender by flow control without delaying other streams.
TEST(peer_connections, paused_readers_block_only_their_own_streams)
{
    constexpr std::size_t window_bytes = 16384;
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
            call->set_hooks(call_hooks([&](std::string_view bytes) { received.append(bytes); },
                                       [&] { http::respond(*paused, {.status = 200}, ""); }));
        });
    auto link = this->connect(server.address());
    // Until the SETTINGS of the other side have arrived, HTTP/2's default window applies.
    call_result first;
    const auto warm_up = get(link, first);
    CHECK(this->until_finished(first));
    call_result upload;
    const auto sender = post(link, upload, http::body_framing::fixed, data.size());
    sender->send_body(data);
    sender->finish_request();
    call_result download;
    const auto reader = get(link, download);
    reader->set_reading(false);
    call_result other;
    const auto unaffected = get(link, other);
    CHECK(this->until_finished(other));
    CHECK(other.body == data);
    LONGS_EQUAL(data.size() - window_bytes, sender->pending_bytes());
    LONGS_EQUAL(0, received.size());
    LONGS_EQUAL(0, download.body.size());
    reader->set_reading(true);
    paused->set_reading(true);
    CHECK(this->until([&] { return upload.is_finished() && download.is_finished(); }));
    CHECK(upload.ended);
    CHECK(received == data);
    CHECK(download.body == data);
}

// Guards against buffering a whole body, which makes memory grow with its length.
TEST(peer_connections, long_body_keeps_memory_bounded)
{
    constexpr std::size_t total_bytes = 100'000'000;
    constexpr std::size_t max_growth_bytes = 2'000'000;
    const std::string piece = make_data(65536, 3);
    const auto server = this->serve(echo);
    auto link = this->connect(server.address());
    call_result warm_up;
    const auto first = post(link, warm_up);
    CHECK(this->until([&] { return warm_up.ended; }));

    std::size_t sent = 0;
    std::size_t received = 0;
    std::size_t max_heap_bytes = 0;
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
    const auto on_body = [&](std::string_view bytes)
    {
        received += bytes.size();
        max_heap_bytes = std::max(max_heap_bytes, heap_bytes());
    };
    call = link.start(make_request_header("POST", http::body_framing::chunked),
                      {{}, {}, on_body, [&] { ended = true; }, send_piece, {}});
    send_piece();
    CHECK(this->until([&] { return ended; }, 60s));
    LONGS_EQUAL(total_bytes, received);
    CHECK(max_heap_bytes < before + max_growth_bytes);
}

// A false proof makes the caller run a request twice. The connection is reset at many different byte counts.
TEST(peer_connections, no_call_that_ran_has_a_proof_of_not_run)
{
    constexpr std::size_t max_cut_bytes = 1200;
    constexpr std::size_t step_bytes = 13;
    // With few streams, calls are refused by the receiver or wait unsent; with many, all of them are sent at once.
    constexpr std::uint32_t few_streams = 3;
    constexpr std::uint32_t many_streams = 256;
    std::size_t proved_count = 0;
    std::size_t delivered_count = 0;
    for (std::size_t cut = 0; cut < max_cut_bytes; cut += step_bytes)
    {
        std::set<std::string> ran;
        std::vector<std::shared_ptr<peer::server_call>> pending_calls;
        const auto server = this->serve(
            [&](const std::shared_ptr<peer::server_call>& call)
            {
                ran.insert(call->request().target);
                call->request().target.ends_with("0") ? http::respond(*call, {.status = 200}, "answer")
                                                      : pending_calls.push_back(call);
            },
            {.streams = cut % 2 == 0 ? few_streams : many_streams});
        forwarder between{this->loop, server.address()};
        between.cut_after_bytes = cut;
        auto link = this->connect(between.address());
        std::array<call_result, 12> results;
        for (std::size_t index = 0; index < results.size(); ++index)
        {
            auto header = make_request_header("POST", http::body_framing::none);
            header.target = "/" + std::to_string(index / 2) + std::to_string(index % 2);
            [[maybe_unused]] const auto call = link.start(header, collect(results[index]));
        }
        // Resets the connection if the calls make no progress before the cut is reached.
        net::timer fallback_reset{this->loop, [&]
                                  {
                                      between.cut_first();
                                  }};
        fallback_reset.schedule(5ms);
        CHECK(this->until([&] { return std::ranges::all_of(results, &call_result::is_finished); }));
        CHECK(this->until([&] { return server.session_count() == 0; }));
        delivered_count += ran.size();
        for (std::size_t index = 0; index < results.size(); ++index)
        {
            const auto target = "/" + std::to_string(index / 2) + std::to_string(index % 2);
            const auto& failure = results[index].failure;
            const bool is_proved = failure && failure->not_run != peer::proof::none;
            proved_count += is_proved ? 1 : 0;
            CHECK_FALSE(is_proved && ran.contains(target));
            CHECK(results[index].ended ? ran.contains(target) : failure.has_value());
        }
    }
    CHECK(proved_count > 0);
    CHECK(delivered_count > 0);
}
