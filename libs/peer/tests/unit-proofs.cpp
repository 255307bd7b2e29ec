#include "raw_peer.hpp"

#include <algorithm> // min, ranges::find

#include "poplarport/net/errors.hpp"
#include "poplarport/peer/errors.hpp"

using namespace poplarport;
using namespace poplarport::test;
using namespace std::chrono_literals;

namespace
{

struct failure_case
{
    const char* title;
    std::string bytes;
    bool closes;
    std::error_code error;
    peer::proof not_run;
    bool header_received;
};

// Returns the stream ids of the HEADERS frames in the bytes that a raw server received after the start of a session.
std::vector<std::uint32_t> streams_with_headers(std::string_view bytes)
{
    constexpr std::size_t frame_header_bytes = 9;
    const auto number = [&](std::size_t offset, std::size_t count)
    {
        std::uint32_t value = 0;
        for (const char byte : bytes.substr(offset, count))
        {
            value = value << 8U | static_cast<std::uint8_t>(byte);
        }
        return value;
    };
    std::vector<std::uint32_t> streams;
    while (bytes.size() >= frame_header_bytes)
    {
        if (bytes[3] == headers_frame)
        {
            streams.push_back(number(5, 4));
        }
        bytes.remove_prefix(std::min<std::size_t>(bytes.size(), frame_header_bytes + number(0, 3)));
    }
    return streams;
}

} // namespace

TEST_GROUP_BASE(peer_proofs, peer_test){};

// A false proof makes the caller run a request twice; an interrupted response must not be treated as complete.
TEST(peer_proofs, each_failure_has_its_error_and_proof)
{
    using peer::errc;
    using peer::proof;
    const auto part = response_header() + frame(data_frame, 0, 1, "part");
    const std::vector<failure_case> cases{
        {"refused", settings() + reset(refused_stream), false, errc::stream_refused, proof::refused_stream, false},
        {"refused after an interim response", settings() + headers({{":status", "103"}}) + reset(refused_stream), false,
         errc::stream_refused, proof::refused_stream, false},
        {"reset for another reason", settings() + reset(internal_error), false, errc::stream_reset, proof::none, false},
        {"reset in the middle", settings() + part + reset(internal_error), false, errc::stream_reset, proof::none,
         true},
        {"reset without an error in the middle", settings() + part + reset(0), false, errc::stream_reset, proof::none,
         true},
        {"refused in the middle", settings() + part + reset(refused_stream), false, errc::stream_reset, proof::none,
         true},
        {"GOAWAY below the stream", settings() + goaway(0), false, errc::going_away, proof::goaway_below, false},
        {"GOAWAY at the stream", settings() + goaway(1), true, net::errc::connection_closed, proof::none, false},
        {"closed without a response", settings(), true, net::errc::connection_closed, proof::none, false},
        {"closed in the middle", settings() + part, true, net::errc::connection_closed, proof::none, true},
        {"shorter than announced",
         settings() + headers({{":status", "200"}, {"content-length", "9"}}) +
             frame(data_frame, end_stream, 1, "short"),
         false, errc::protocol_error, proof::none, true},
        {"connection field", settings() + headers({{":status", "200"}, {"transfer-encoding", "chunked"}}), false,
         errc::protocol_error, proof::none, false},
        {"malformed field value", settings() + headers({{":status", "200"}, {"x", "a\nb"}}), false,
         errc::protocol_error, proof::none, false},
        {"status out of range", settings() + headers({{":status", "099"}}), false, errc::protocol_error, proof::none,
         false},
        {"another protocol", "HTTP/1.1 400 Bad Request\r\n\r\n", false, errc::protocol_error, proof::none, false},
    };
    for (const auto& entry : cases)
    {
        raw_server server{this->loop, entry.bytes};
        auto link = this->connect(server.address());
        call_result result;
        const auto call = post(link, result);
        if (entry.closes)
        {
            CHECK_TEXT(this->until([&] { return server.connections == 1; }), entry.title);
            CHECK_TEXT(this->until([&] { return link.statistics().bytes_in >= entry.bytes.size(); }), entry.title);
            server.socket->finish_output();
        }
        CHECK_TEXT(this->until_finished(result), entry.title);
        CHECK_TEXT(result.failure.has_value(), entry.title);
        STRCMP_EQUAL_TEXT(entry.error.message().c_str(), result.failure->error.message().c_str(), entry.title);
        STRCMP_EQUAL_TEXT(to_string(entry.not_run).data(), to_string(result.failure->not_run).data(), entry.title);
        CHECK_TEXT(result.failure->header_received == entry.header_received, entry.title);
        LONGS_EQUAL_TEXT(1, server.connections, entry.title);
    }
}

// The proof of a refusal by the server's owner must reach the caller, but not after part of the response was sent.
TEST(peer_proofs, refuse_stream_proves_not_run_unless_the_header_was_sent)
{
    for (const bool sends_header : {false, true})
    {
        const auto server = this->serve(
            [&](const std::shared_ptr<peer::server_call>& call)
            {
                if (sends_header)
                {
                    call->send_header({.status = 200});
                }
                call->refuse_stream();
            });
        auto link = this->connect(server.address());
        call_result result;
        const auto call = post(link, result);
        CHECK(this->until_finished(result));
        CHECK(result.failure->not_run == (sends_header ? peer::proof::none : peer::proof::refused_stream));
        LONGS_EQUAL(sends_header ? 0 : 1, server.statistics().refused);
        LONGS_EQUAL(sends_header ? 0 : 1, link.statistics().refused);
    }
}

// A call behind bytes that the kernel never accepted must be reported as not sent; a call of which the other side
// received a byte must not.
TEST(peer_proofs, call_behind_a_full_socket_is_not_sent)
{
    constexpr std::uint32_t max_window_bytes = 0x7fffffff;
    const auto wide_windows = frame(settings_frame, 0, 0, number_bytes(4, 2) + number_bytes(max_window_bytes, 4)) +
                              frame(window_update_frame, 0, 0, number_bytes(max_window_bytes - 65535, 4));
    raw_server server{this->loop, wide_windows};
    auto link = this->connect(server.address());
    call_result first;
    const auto sender = post(link, first, http::body_framing::chunked);
    CHECK(this->until([&] { return link.statistics().bytes_in >= wide_windows.size(); }));
    server.socket->set_reading(false);
    // Exceeds the kernel's buffers on both sides.
    sender->send_body(make_data(64'000'000, 4));
    std::uint64_t before = 0;
    int unchanged_checks = 0;
    net::timer check{this->loop, [&]
                     {
                         const auto total = link.statistics().bytes_out;
                         unchanged_checks = total == before ? unchanged_checks + 1 : 0;
                         before = total;
                         check.schedule(10ms);
                     }};
    check.schedule(10ms);
    CHECK(this->until([&] { return unchanged_checks == 10; }));
    CHECK(sender->pending_bytes() > 0);
    call_result second;
    const auto waiting = post(link, second);
    check.schedule(10ms);
    this->loop.run_once();
    link.close();
    CHECK(first.failure->not_run == peer::proof::none);
    CHECK(second.failure->not_run == peer::proof::not_sent);

    std::string received;
    bool closed = false;
    server.socket->set_hooks(
        socket_hooks([&](std::string_view bytes) { received.append(bytes); }, [&](std::error_code) { closed = true; }));
    server.socket->set_reading(true);
    CHECK(this->until([&] { return closed; }));
    CHECK(received.size() > 100'000);
    constexpr std::uint32_t second_stream = 3;
    const auto streams = streams_with_headers(received);
    CHECK(std::ranges::find(streams, second_stream) == streams.end());
}

// A call cancelled before its frame was packed must not be sent, and no callback may run after cancel().
TEST(peer_proofs, cancel_before_the_call_was_packed_proves_not_sent)
{
    int calls = 0;
    std::error_code cancelled;
    const auto server = this->serve(
        [&](const std::shared_ptr<peer::server_call>& call)
        {
            ++calls;
            call->set_hooks(call_hooks({}, {}, {}, [&](std::error_code reason) { cancelled = reason; }));
        });
    auto link = this->connect(server.address());
    call_result early;
    const auto unsent = post(link, early);
    CHECK(unsent->cancel() == peer::proof::not_sent);
    call_result late;
    const auto sent = post(link, late);
    CHECK(this->until([&] { return calls == 1; }));
    CHECK(sent->cancel() == peer::proof::none);
    CHECK(this->until([&] { return static_cast<bool>(cancelled); }));
    CHECK(cancelled == peer::errc::call_cancelled);
    LONGS_EQUAL(1, calls);
    CHECK_FALSE(early.is_finished());
    CHECK_FALSE(late.is_finished());
    LONGS_EQUAL(0, link.call_count());
}
