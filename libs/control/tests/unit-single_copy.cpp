#include "poplarport/control/client.hpp"
#include "poplarport/control/errors.hpp"
#include "poplarport/net/listener.hpp"
#include "poplarport/net/stream_socket.hpp"
#include "poplarport/net/timer.hpp"

#include <chrono>  // seconds, milliseconds
#include <cstdlib> // setenv, unsetenv
#include <memory>  // unique_ptr
#include <string>  // string
#include <vector>  // vector

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;
using control::errc;
using control::reply;

namespace
{

struct peer_case
{
    const char* name;
    std::string sent;        ///< bytes that the peer sends before it closes
    std::size_t close_after; ///< bytes of the request after which the peer closes; 0 closes at once
    bool is_reset;           ///< close by TCP reset
    unsigned status;         ///< status that the client reports; 0 for an error
};

} // namespace

/// @brief A raw TCP peer that counts the copies of a request and closes the connection at a configured point.
TEST_GROUP(single_copy)
{
    net::event_loop loop;
    std::vector<std::unique_ptr<net::stream_socket>> accepted;
    std::string received;
    std::size_t connections{0};

    std::unique_ptr<net::listener> listen(const peer_case& peer_behaviour)
    {
        return std::make_unique<net::listener>(this->loop, core::socket_address{"127.0.0.1", 0},
                                               [this, &peer_behaviour](std::unique_ptr<net::stream_socket> socket)
                                               {
                                                   ++this->connections;
                                                   net::stream_socket* const peer = socket.get();
                                                   const auto close = [this, peer, &peer_behaviour]
                                                   {
                                                       if (this->received.size() < peer_behaviour.close_after)
                                                       {
                                                           return;
                                                       }
                                                       if (peer_behaviour.is_reset)
                                                       {
                                                           peer->reset();
                                                           return;
                                                       }
                                                       peer->send(peer_behaviour.sent);
                                                       peer->finish_output();
                                                   };
                                                   socket->set_hooks({.on_connected = {},
                                                                      .on_bytes =
                                                                          [this, close](std::string_view bytes)
                                                                      {
                                                                          this->received.append(bytes);
                                                                          close();
                                                                      },
                                                                      .on_drained = {},
                                                                      .on_closed = {}});
                                                   this->accepted.push_back(std::move(socket));
                                                   if (peer_behaviour.close_after == 0)
                                                   {
                                                       close();
                                                   }
                                               });
    }

    void run_for(core::duration duration)
    {
        bool is_expired = false;
        net::timer limit{this->loop, [&is_expired]
                         {
                             is_expired = true;
                         }};
        limit.schedule(duration);
        while (!is_expired)
        {
            this->loop.run_once();
        }
    }

    std::size_t request_copies() const
    {
        std::size_t count = 0;
        for (auto position = this->received.find("PUT /"); position != std::string::npos;
             position = this->received.find("PUT /", position + 1))
        {
            ++count;
        }
        return count;
    }
};

// A closed connection, a redirect or an incomplete response must not cause a second copy of the request. A response in
// chunks is a response: a store that sends larger objects so was once without use, and the configuration stayed as it
// was.
TEST(single_copy, closed_connection_never_repeats_a_request)
{
    const std::string redirect = "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n";
    const peer_case cases[] = {
        {"closes at accept", "", 0, false, 0},
        {"resets at accept", "", 0, true, 0},
        {"closes within the header", "", 1, false, 0},
        {"resets within the header", "", 1, true, 0},
        {"closes after the request", "", 190, false, 0},
        {"resets after the request", "", 190, true, 0},
        {"closes within the response header", "HTTP/1.1 200 OK\r\nConte", 1, false, 0},
        {"closes within the response body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 1, false, 0},
        {"closes within a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab", 1, false, 0},
        {"redirects", redirect, 1, false, 302},
        {"redirects and stays", "HTTP/1.1 307 Temporary\r\nLocation: /o\r\nContent-Length: 0\r\n\r\n", 1, false, 307},
        {"asks for credentials", "HTTP/1.1 401 No\r\nWWW-Authenticate: Basic\r\nContent-Length: 0\r\n\r\n", 1, false,
         401},
        {"is unavailable", "HTTP/1.1 503 No\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n", 1, false, 503},
        {"closes after a body without a length", "HTTP/1.1 200 OK\r\n\r\nok", 1, false, 0},
        {"answers", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1, false, 200},
        {"answers in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", 1,
         false, 200},
    };
    for (const peer_case& test_case : cases)
    {
        this->received.clear();
        this->connections = 0;
        const auto peer = this->listen(test_case);
        std::vector<reply> replies;
        {
            control::client client{this->loop};
            client.send(peer->address(), {.method = "PUT", .path = "/v1/objects/a", .body = std::string(100, 'b')}, 2s,
                        [&replies](const reply& completed) { replies.push_back(completed); });
            // Sufficient time for a second attempt after the first one has ended.
            this->run_for(100ms);
        }
        UNSIGNED_LONGS_EQUAL_TEXT(1, this->connections, test_case.name);
        CHECK_TRUE_TEXT(this->request_copies() <= 1, test_case.name);
        UNSIGNED_LONGS_EQUAL_TEXT(1, replies.size(), test_case.name);
        UNSIGNED_LONGS_EQUAL_TEXT(test_case.status, replies[0].response ? replies[0].response->status : 0,
                                  test_case.name);
        STRCMP_EQUAL_TEXT(test_case.status == 200 ? "ok" : "",
                          replies[0].response ? replies[0].response->body.c_str() : "", test_case.name);
        const bool is_sent = this->request_copies() == 1;
        CHECK_TRUE_TEXT(replies[0].response.has_value() || !is_sent || replies[0].may_have_been_sent, test_case.name);
    }
}

// A reused connection may be about to close, which would lose the second request.
TEST(single_copy, each_request_uses_a_separate_connection)
{
    const peer_case peer_behaviour{"answers", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1, false, 200};
    const auto peer = this->listen(peer_behaviour);
    control::client client{this->loop};
    std::size_t responses = 0;
    for (int index = 0; index < 3; ++index)
    {
        client.send(peer->address(), {.path = "/a"}, 2s,
                    [&responses](const reply& completed) { responses += completed.response.has_value() ? 1 : 0; });
    }
    this->run_for(100ms);
    UNSIGNED_LONGS_EQUAL(3, this->connections);
    UNSIGNED_LONGS_EQUAL(3, responses);
}

// libwebsockets would send the request through the proxy named by the environment.
TEST(single_copy, proxy_from_environment_is_ignored)
{
    const peer_case peer_behaviour{"answers", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1, false, 200};
    const auto peer = this->listen(peer_behaviour);
    setenv("http_proxy", "127.0.0.1:9", 1);
    control::client client{this->loop};
    unsetenv("http_proxy");
    std::vector<reply> replies;
    client.send(peer->address(), {.path = "/a"}, 2s,
                [&replies](const reply& completed) { replies.push_back(completed); });
    this->run_for(100ms);
    UNSIGNED_LONGS_EQUAL(1, this->connections);
    CHECK_TRUE(this->received.starts_with("GET /a HTTP/1.1\r\n"));
}
