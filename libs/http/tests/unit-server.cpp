#include "poplarport/http/server.hpp"

#include <chrono>     // seconds
#include <functional> // function
#include <memory>     // unique_ptr
#include <string>     // string
#include <vector>     // vector

#include "poplarport/http/client_connection.hpp"
#include "poplarport/http/client_pool.hpp"
#include "poplarport/http/errors.hpp"
#include "poplarport/net/errors.hpp"
#include "poplarport/net/listener.hpp"
#include "poplarport/net/stream_socket.hpp"
#include "poplarport/net/timer.hpp"
#include "run_until.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;
using http::run_until;

namespace
{

constexpr core::duration connect_timeout = 5s;
const core::socket_address loopback{"127.0.0.1", 0};

// Responds to each request with the body of the request.
http::server make_echo_server(net::event_loop& loop, int& requests)
{
    return http::server::builder{}
        .listen_on(loopback)
        .on_request(
            [&requests](const std::shared_ptr<http::server_exchange>& exchange)
            {
                ++requests;
                const auto body = std::make_shared<std::string>();
                auto* const exchange_pointer = exchange.get();
                exchange_pointer->set_hooks({.on_body = [body](std::string_view bytes) { body->append(bytes); },
                                             .on_body_end =
                                                 [body, exchange]
                                             {
                                                 http::response_header header{.status = 200};
                                                 header.fields.add("X-Method", exchange->request().method);
                                                 http::respond(*exchange, std::move(header), *body);
                                             },
                                             .on_writable = {},
                                             .on_cancelled = {}});
            })
        .build(loop);
}

// Sends text on a raw connection and returns the bytes received until the server closes it.
std::string exchange_raw(net::event_loop& loop, const core::socket_address& address, const std::string& text)
{
    std::string received;
    bool closed = false;
    std::unique_ptr<net::stream_socket> socket;
    socket = net::stream_socket::connect(loop, address, connect_timeout,
                                         {.on_connected = [&] { socket->send(text); },
                                          .on_bytes = [&](std::string_view bytes) { received.append(bytes); },
                                          .on_drained = {},
                                          .on_closed =
                                              [&](std::error_code)
                                          {
                                              closed = true;
                                          }});
    run_until(loop, [&] { return closed; });
    return received;
}

struct client_result
{
    int status{0};
    std::string body{};
    bool ended{false};
    std::optional<http::client_failure> failure{};
};

http::client_connection::hooks record_result(client_result& result)
{
    return {.on_interim = {},
            .on_response_header = [&](http::response_header& header) { result.status = header.status; },
            .on_body = [&](std::string_view bytes) { result.body.append(bytes); },
            .on_end = [&] { result.ended = true; },
            .on_writable = {},
            .on_failed =
                [&](const http::client_failure& failure)
            {
                result.failure = failure;
            }};
}

http::request_header make_request_header(const std::string& method, http::body_framing framing, std::uint64_t length)
{
    http::request_header header{.method = method, .target = "/"};
    header.fields.add("Host", "test");
    header.framing = framing;
    header.content_length = length;
    return header;
}

} // namespace

TEST_GROUP(http_server){};

struct malformed_case
{
    const char* title;
    std::string text;
    const char* status;
};

// Request smuggling: the bytes after an ambiguous or malformed request could be parsed as a second request. Such a
// request must be refused, must not reach the handler, and must end the connection.
TEST(http_server, malformed_requests_are_refused_and_end_the_connection)
{
    const std::string second = "GET /second HTTP/1.1\r\nHost: t\r\n\r\n";
    const std::vector<malformed_case> cases{
        {"both lengths", "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
         "400"},
        {"both lengths, reversed",
         "POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n", "400"},
        {"repeated length", "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n", "400"},
        {"repeated equal length", "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\n",
         "400"},
        {"length list", "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 4, 4\r\n\r\n", "400"},
        {"signed length", "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: +4\r\n\r\n", "400"},
        {"bare line feeds", "GET / HTTP/1.1\nHost: t\n\n", "400"},
        {"bare line feed in a field", "GET / HTTP/1.1\r\nHost: t\nX: y\r\n\r\n", "400"},
        {"space before the colon", "GET / HTTP/1.1\r\nHost : t\r\n\r\n", "400"},
        {"other transfer coding", "POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "501"},
        {"obfuscated coding", "POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: xchunked\r\n\r\n", "501"},
        {"no host", "GET / HTTP/1.1\r\n\r\n", "400"},
        {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
        {"oversized header", "GET / HTTP/1.1\r\nHost: t\r\nX: " + std::string(20000, 'a') + "\r\n\r\n", "431"},
        {"wrong version", "GET / HTTP/3.0\r\nHost: t\r\n\r\n", "505"},
        {"no request", "\x16\x03\x01\x02", "400"},
    };
    for (const auto& test_case : cases)
    {
        net::event_loop loop;
        int requests = 0;
        const auto server = make_echo_server(loop, requests);
        const auto response = exchange_raw(loop, server.address(), test_case.text + second);
        CHECK_TEXT(response.starts_with(std::string{"HTTP/1.1 "} + test_case.status), test_case.title);
        LONGS_EQUAL_TEXT(0, requests, test_case.title);
        CHECK_TEXT(response.find("HTTP/1.1 ", 1) == std::string::npos, test_case.title);
    }
}

// A malformed chunk must not be treated as the end of the body, or a truncated body looks complete.
TEST(http_server, malformed_chunk_ends_the_connection)
{
    net::event_loop loop;
    int requests = 0;
    const auto server = make_echo_server(loop, requests);
    const auto response = exchange_raw(
        loop, server.address(),
        "POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhelloGET / HTTP/1.1\r\nHost: t\r\n\r\n");
    CHECK(response.starts_with("HTTP/1.1 400"));
    LONGS_EQUAL(1, requests);
}

// A caller that never ends the line before a chunk, or the trailer section, must not make the server buffer its bytes.
TEST(http_server, a_body_with_framing_without_end_is_refused)
{
    for (const char* const start : {"5;a=", "5\r\nhello\r\n5;a=", "0\r\nA: "})
    {
        net::event_loop loop;
        int requests = 0;
        const auto server = make_echo_server(loop, requests);
        const auto response = exchange_raw(loop, server.address(),
                                           "POST / HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n" +
                                               std::string{start} + std::string(1U << 20U, 'x'));
        CHECK_TEXT(response.starts_with("HTTP/1.1 400"), start);
        LONGS_EQUAL_TEXT(1, requests, start);
    }
}

// Responses to pipelined requests could be mixed up or lost when requests arrive split at any byte.
TEST(http_server, responses_to_split_and_pipelined_requests_keep_the_request_order)
{
    net::event_loop loop;
    int requests = 0;
    const auto server = make_echo_server(loop, requests);
    const std::string text =
        "POST /1 HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nHost: t\r\n\r\n"
        "POST /3 HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        "3\r\nthr\r\n2\r\nee\r\n0\r\n\r\n";
    std::string received;
    bool closed = false;
    std::size_t position = 0;
    std::unique_ptr<net::stream_socket> socket;
    net::timer feed{loop, [] {
                    }};
    const std::function<void()> send_next = [&]
    {
        if (position < text.size())
        {
            socket->send(text.substr(position++, 1));
            loop.post(send_next);
        }
    };
    socket = net::stream_socket::connect(loop, server.address(), connect_timeout,
                                         {.on_connected = send_next,
                                          .on_bytes = [&](std::string_view bytes) { received.append(bytes); },
                                          .on_drained = {},
                                          .on_closed =
                                              [&](std::error_code)
                                          {
                                              closed = true;
                                          }});
    CHECK(run_until(loop, [&] { return closed; }));
    LONGS_EQUAL(3, requests);
    const auto first = received.find("\r\n\r\none");
    const auto third = received.find("\r\n\r\nthree");
    CHECK(first != std::string::npos);
    CHECK(third != std::string::npos);
    CHECK(first < third);
}

struct framing_case
{
    const char* title;
    http::body_framing framing;
    std::size_t bytes;
};

// Bodies could be altered or truncated in transfer, or a finished exchange could leave the connection unusable for the
// next request.
TEST(http_server, bodies_return_unchanged_on_one_connection)
{
    net::event_loop loop;
    int requests = 0;
    const auto server = make_echo_server(loop, requests);
    http::client_pool pool{loop, server.address(), {}};
    for (const auto& test_case : {framing_case{"none", http::body_framing::none, 0},
                                  framing_case{"fixed", http::body_framing::fixed, 5'000'000},
                                  framing_case{"chunked", http::body_framing::chunked, 3'000'000},
                                  framing_case{"fixed and empty", http::body_framing::fixed, 0}})
    {
        std::string body(test_case.bytes, '\0');
        for (std::size_t index = 0; index < body.size(); ++index)
        {
            body[index] = static_cast<char>(index * 7 % 253);
        }
        client_result result;
        const auto connection = pool.acquire();
        connection->start(make_request_header("POST", test_case.framing, body.size()), record_result(result));
        connection->send_body(body);
        connection->finish_request();
        CHECK_TEXT(run_until(loop, [&] { return result.ended || result.failure; }), test_case.title);
        LONGS_EQUAL_TEXT(200, result.status, test_case.title);
        CHECK_TEXT(result.body == body, test_case.title);
        CHECK_TEXT(connection->is_reusable(), test_case.title);
        pool.release(connection);
        LONGS_EQUAL(1, pool.size());
    }
}

// The response to HEAD states a Content-Length but has no body; a client that waits for the body would hang.
TEST(http_server, response_to_head_has_no_body)
{
    net::event_loop loop;
    int requests = 0;
    const auto server = make_echo_server(loop, requests);
    client_result result;
    const auto connection = http::client_connection::connect(loop, server.address(), connect_timeout);
    connection->start(make_request_header("HEAD", http::body_framing::none, 0), record_result(result));
    CHECK(run_until(loop, [&] { return result.ended || result.failure; }));
    LONGS_EQUAL(200, result.status);
    CHECK(result.body.empty());
}

// A request may be in transit while the server closes its idle connection. Without a response the caller cannot
// determine that it did not run.
TEST(http_server, request_that_crosses_the_close_of_an_idle_connection_is_refused)
{
    net::event_loop loop;
    int requests = 0;
    auto server = make_echo_server(loop, requests);
    const auto connection = http::client_connection::connect(loop, server.address(), connect_timeout);
    client_result first;
    connection->start(make_request_header("GET", http::body_framing::none, 0), record_result(first));
    CHECK(run_until(loop, [&] { return first.ended; }));
    client_result crossing_request;
    connection->start(make_request_header("GET", http::body_framing::none, 0), record_result(crossing_request));
    server.close_idle();
    CHECK(run_until(loop, [&] { return crossing_request.ended || crossing_request.failure; }));
    LONGS_EQUAL(408, crossing_request.status);
    CHECK(crossing_request.ended);
    CHECK(!connection->is_reusable());
    LONGS_EQUAL(1, requests);
}

// If a hook pauses reading at the end of a response and reading stays paused, the response to the next request on the
// connection is never read.
TEST(http_server, paused_reading_ends_with_the_response)
{
    net::event_loop loop;
    int requests = 0;
    const auto server = make_echo_server(loop, requests);
    const auto connection = http::client_connection::connect(loop, server.address(), connect_timeout);
    for (int index = 0; index < 2; ++index)
    {
        client_result result;
        auto hooks = record_result(result);
        hooks.on_body = [&](std::string_view bytes)
        {
            result.body.append(bytes);
            connection->set_reading(false);
        };
        connection->start(make_request_header("POST", http::body_framing::fixed, 4), std::move(hooks));
        connection->send_body("body");
        connection->finish_request();
        CHECK(run_until(
            loop, [&] { return result.ended; }, 2s));
        CHECK_EQUAL(std::string{"body"}, result.body);
        CHECK(connection->is_reusable());
    }
}

// When the caller disconnects, its exchange must be cancelled, or the server continues useless work.
TEST(http_server, disconnected_caller_cancels_its_exchange)
{
    net::event_loop loop;
    std::shared_ptr<http::server_exchange> stored_exchange;
    bool cancelled = false;
    const auto server = http::server::builder{}
                            .listen_on(loopback)
                            .on_request(
                                [&](std::shared_ptr<http::server_exchange> exchange)
                                {
                                    stored_exchange = std::move(exchange);
                                    stored_exchange->set_hooks({.on_body = {},
                                                                .on_body_end = {},
                                                                .on_writable = {},
                                                                .on_cancelled = [&](std::error_code)
                                                                {
                                                                    cancelled = true;
                                                                }});
                                })
                            .build(loop);
    client_result result;
    const auto connection = http::client_connection::connect(loop, server.address(), connect_timeout);
    connection->start(make_request_header("GET", http::body_framing::none, 0), record_result(result));
    CHECK(run_until(loop, [&] { return stored_exchange != nullptr; }));
    connection->abort();
    CHECK(run_until(loop, [&] { return cancelled; }));
    stored_exchange->finish();
}

struct broken_upstream_case
{
    const char* title;
    const char* response;
    bool reset;
    bool complete;
};

// An incomplete response must not be reported as complete, and the client must not resend the request on its own.
TEST(http_server, client_reports_an_incomplete_response_and_sends_the_request_once)
{
    for (const auto& test_case :
         {broken_upstream_case{"closed without a response", "", false, false},
          broken_upstream_case{"short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", false, false},
          broken_upstream_case{"missing last chunk",
                               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false, false},
          broken_upstream_case{"end of connection ends the body", "HTTP/1.1 200 OK\r\n\r\nwhole", false, true},
          broken_upstream_case{"reset is not the end of a body", "HTTP/1.1 200 OK\r\n\r\npart", true, false}})
    {
        net::event_loop loop;
        int connections = 0;
        std::string received;
        std::unique_ptr<net::stream_socket> accepted;
        const net::listener upstream{loop, loopback,
                                     [&](std::unique_ptr<net::stream_socket> socket)
                                     {
                                         ++connections;
                                         accepted = std::move(socket);
                                         accepted->set_hooks({.on_connected = {},
                                                              .on_bytes =
                                                                  [&](std::string_view bytes)
                                                              {
                                                                  received.append(bytes);
                                                                  if (!received.ends_with("\r\n\r\n"))
                                                                  {
                                                                      return;
                                                                  }
                                                                  accepted->send(test_case.response);
                                                                  if (!test_case.reset)
                                                                  {
                                                                      accepted->finish_output();
                                                                  }
                                                              },
                                                              .on_drained = {},
                                                              .on_closed = {}});
                                     }};
        client_result result;
        const auto connection = http::client_connection::connect(loop, upstream.address(), connect_timeout);
        connection->start(make_request_header("POST", http::body_framing::none, 0), record_result(result));
        if (test_case.reset)
        {
            CHECK(run_until(loop, [&] { return result.body == "part"; }));
            accepted->reset();
        }
        CHECK_TEXT(run_until(loop, [&] { return result.ended || result.failure; }), test_case.title);
        CHECK_TEXT(result.ended == test_case.complete, test_case.title);
        if (result.failure)
        {
            CHECK_TEXT(result.failure->bytes_sent, test_case.title);
        }
        LONGS_EQUAL_TEXT(1, connections, test_case.title);
        LONGS_EQUAL_TEXT(received.find("POST"), received.rfind("POST"), test_case.title);
    }
}

// A request to a closed port was not run; reporting bytes as sent would make its outcome unknown.
TEST(http_server, refused_connection_proves_that_no_byte_was_sent)
{
    net::event_loop loop;
    core::socket_address unused_address;
    {
        const net::listener temporary{loop, loopback, [](std::unique_ptr<net::stream_socket>) {
                                      }};
        unused_address = temporary.address();
    }
    loop.post([] {});
    loop.run_once();
    client_result result;
    const auto connection = http::client_connection::connect(loop, unused_address, connect_timeout);
    connection->start(make_request_header("POST", http::body_framing::none, 0), record_result(result));
    CHECK(run_until(loop, [&] { return result.failure.has_value(); }));
    CHECK(result.failure->error == net::errc::connect_failed);
    CHECK_FALSE(result.failure->bytes_sent);
}
