#include "poplarport/http/client_connection.hpp"

#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string, to_string
#include <utility>  // move

#include <CppUTest/TestHarness.h>

#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/listener.hpp"
#include "poplarport/net/stream_socket.hpp"

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

struct received_response
{
    std::optional<http::response_header> header{};
    std::string body{};
    bool is_complete{false};
    bool has_failed{false};
};

// Sends one request to a server that responds with fixed bytes and closes the connection in an orderly way.
received_response exchange(const std::string& response_bytes)
{
    net::event_loop loop;
    std::unique_ptr<net::stream_socket> accepted;
    net::listener listener{loop,
                           {"127.0.0.1", 0},
                           [&](std::unique_ptr<net::stream_socket> socket)
                           {
                               accepted = std::move(socket);
                               accepted->set_hooks({.on_connected = {},
                                                    .on_bytes =
                                                        [&](std::string_view)
                                                    {
                                                        accepted->send(response_bytes);
                                                        accepted->finish_output();
                                                    },
                                                    .on_drained = {},
                                                    .on_closed = {}});
                           }};
    received_response result;
    const auto connection = http::client_connection::connect(loop, listener.address(), 1s);
    http::request_header request{.method = "GET", .target = "/o/1"};
    request.fields.add("Host", "orders");
    connection->start(request, {.on_interim = {},
                                .on_response_header = [&](http::response_header& header) { result.header = header; },
                                .on_body = [&](std::string_view bytes) { result.body.append(bytes); },
                                .on_end = [&] { result.is_complete = true; },
                                .on_writable = {},
                                .on_failed =
                                    [&](const http::client_failure&)
                                {
                                    result.has_failed = true;
                                }});
    while (!result.is_complete && !result.has_failed)
    {
        loop.run_once();
    }
    connection->abort();
    return result;
}

} // namespace

TEST_GROUP(client_connection){};

// An upstream that ends in the middle of its response's header section or of a body with a stated length must not
// appear to have responded: the caller would receive a success with an empty or short body that looks complete.
TEST(client_connection, a_response_that_ends_early_is_a_failure)
{
    const std::string fixed = "HTTP/1.1 200 OK\r\nCall-Id: r1\r\nBody-Digest: s\r\nContent-Length: 5\r\n\r\nhello";
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nCall-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    const std::string unframed = "HTTP/1.1 200 OK\r\nCall-Id: r1\r\nBody-Digest: s\r\n\r\n";
    for (const auto& whole : {fixed, chunked, unframed})
    {
        for (std::size_t length = 0; length < whole.size(); ++length)
        {
            const auto title = whole.substr(0, length);
            const auto response = exchange(title);
            CHECK_TEXT(response.has_failed && !response.is_complete, title.c_str());
        }
    }
    CHECK(exchange(fixed).is_complete);
    CHECK(exchange(chunked).is_complete);
    STRCMP_EQUAL("hello", exchange(unframed + "hello").body.c_str());
}
