#pragma once

#include <chrono>     // seconds
#include <functional> // function
#include <memory>     // shared_ptr
#include <optional>   // optional
#include <string>     // string

#include "poplarport/http/server.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/stream_socket.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/peer/link.hpp"
#include "poplarport/peer/server.hpp"

#include <CppUTest/TestHarness.h>

namespace poplarport::test
{

inline const core::socket_address loopback{"127.0.0.1", 0};

// Runs the loop until the condition holds; returns false if the time limit passed first.
inline bool run_until(net::event_loop& loop, const std::function<bool()>& condition,
                      core::duration limit = std::chrono::seconds{10})
{
    bool expired = false;
    net::timer timer{loop, [&]
                     {
                         expired = true;
                     }};
    timer.schedule(limit);
    while (!condition() && !expired)
    {
        loop.run_once();
    }
    return !expired;
}

// Collects the arguments of the callbacks of one call.
struct call_result
{
    std::optional<http::response_header> header{};
    int interim_status{0};
    std::string body{};
    bool ended{false};
    std::optional<peer::call_failure> failure{};

    [[nodiscard]] bool is_finished() const
    {
        return this->ended || this->failure.has_value();
    }
};

inline peer::client_call::hooks collect(call_result& result)
{
    return {.on_interim = [&result](const http::response_header& header) { result.interim_status = header.status; },
            .on_response_header = [&result](http::response_header& header) { result.header = header; },
            .on_body = [&result](std::string_view bytes) { result.body.append(bytes); },
            .on_end = [&result] { result.ended = true; },
            .on_writable = {},
            .on_failed =
                [&result](const peer::call_failure& failure)
            {
                result.failure = failure;
            }};
}

inline http::request_header make_request_header(const std::string& method, http::body_framing framing,
                                                std::uint64_t length = 0)
{
    http::request_header header{
        .method = method, .target = "/path?query", .framing = framing, .content_length = length};
    header.fields.add("Host", "orders");
    header.fields.add("X-Field", "value");
    return header;
}

// Deterministic data that differs between seeds, so that bytes of another stream are detected.
inline std::string make_data(std::size_t size, std::size_t seed)
{
    std::string data(size, '\0');
    for (std::size_t index = 0; index < size; ++index)
    {
        data[index] = static_cast<char>((index * 31 + seed * 17 + index / 251) % 253);
    }
    return data;
}

// Hooks of a server call; only the first is required.
inline peer::server_call::hooks call_hooks(std::function<void(std::string_view)> on_body,
                                           std::function<void()> on_body_end = {},
                                           std::function<void()> on_writable = {},
                                           std::function<void(std::error_code)> on_cancelled = {})
{
    return {std::move(on_body), std::move(on_body_end), std::move(on_writable), std::move(on_cancelled)};
}

// Hooks of a socket; only the first is required.
inline net::stream_socket::hooks socket_hooks(std::function<void(std::string_view)> on_bytes,
                                              std::function<void(std::error_code)> on_closed = {},
                                              std::function<void()> on_connected = {})
{
    return {std::move(on_connected), std::move(on_bytes), {}, std::move(on_closed)};
}

// Sends the request's body back as it arrives; pauses reading while the response is buffered.
inline void echo(const std::shared_ptr<peer::server_call>& call)
{
    constexpr std::size_t max_pending_bytes = 32768;
    auto* const raw = call.get();
    call->send_header({.status = 200, .framing = http::body_framing::chunked});
    const auto send_back = [raw](std::string_view bytes)
    {
        raw->send_body(bytes);
        raw->set_reading(raw->pending_bytes() < max_pending_bytes);
    };
    call->set_hooks(call_hooks(
        send_back, [call] { call->finish(); }, [raw] { raw->set_reading(true); }));
}

// Base of the test groups: an event loop and helpers for servers, links and calls.
struct peer_test : Utest
{
    net::event_loop loop{};

    peer::server serve(peer::server::call_hook hook, const peer::server::limits& limits = {})
    {
        return peer::server::builder{}.listen_on(loopback).on_call(std::move(hook)).with_limits(limits).build(loop);
    }

    peer::link connect(const core::socket_address& address, const peer::link::limits& limits = {})
    {
        return peer::link::builder{}.connect_to(address).with_limits(limits).build(this->loop);
    }

    static std::shared_ptr<peer::client_call> get(peer::link& link, call_result& result)
    {
        return link.start(make_request_header("GET", http::body_framing::none), collect(result));
    }

    static std::shared_ptr<peer::client_call> post(peer::link& link, call_result& result,
                                                   http::body_framing framing = http::body_framing::none,
                                                   std::uint64_t length = 0)
    {
        return link.start(make_request_header("POST", framing, length), collect(result));
    }

    bool until(const std::function<bool()>& condition, core::duration limit = std::chrono::seconds{10})
    {
        return run_until(this->loop, condition, limit);
    }

    bool until_finished(const call_result& result)
    {
        return this->until([&] { return result.is_finished(); });
    }
};

} // namespace poplarport::test
