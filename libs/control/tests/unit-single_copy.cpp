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

/// @brief A raw peer that counts the copies of a request and closes the connection at a chosen point.
TEST_GROUP(single_copy)
{
    net::event_loop loop;
    std::vector<std::unique_ptr<net::stream_socket>> accepted;
    std::string received;
    std::size_t connections{0};

    std::unique_ptr<net::listener> listen(const peer_case& behaviour)
    {
        return std::make_unique<net::listener>(this->loop, core::socket_address{"127.0.0.1", 0},
                                               [this, &behaviour](std::unique_ptr<net::stream_socket> socket)
                                               {
                                                   ++this->connections;
                                                   net::stream_socket* const peer = socket.get();
                                                   const auto close = [this, peer, &behaviour]
                                                   {
                                                       if (this->received.size() < behaviour.close_after)
                                                       {
                                                           return;
                                                       }
                                                       if (behaviour.is_reset)
                                                       {
                                                           peer->reset();
                                                           return;
                                                       }
                                                       peer->send(behaviour.sent);
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
                                                   if (behaviour.close_after == 0)
                                                   {
                                                       close();
                                                   }
                                               });
    }

    void run_for(core::duration time)
    {
        bool is_over = false;
        net::timer limit{this->loop, [&is_over]
                         {
                             is_over = true;
                         }};
        limit.schedule(time);
        while (!is_over)
        {
            this->loop.run_once();
        }
    }

    std::size_t copies() const
    {
        std::size_t count = 0;
        for (auto at = this->received.find("PUT /"); at != std::string::npos; at = this->received.find("PUT /", at + 1))
        {
            ++count;
        }
        return count;
    }
};

// Guards against a second copy of a request: after a closing connection, a redirect or an incomplete answer.
TEST(single_copy, closing_connection_never_repeats_a_request)
{
    const std::string redirect = "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n";
    const peer_case cases[] = {
        {"closes at accept", "", 0, false, 0},
        {"resets at accept", "", 0, true, 0},
        {"closes within the header", "", 1, false, 0},
        {"resets within the header", "", 1, true, 0},
        {"closes after the request", "", 190, false, 0},
        {"resets after the request", "", 190, true, 0},
        {"closes within the answer's header", "HTTP/1.1 200 OK\r\nConte", 1, false, 0},
        {"closes within the answer's body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 1, false, 0},
        {"closes within a chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab", 1, false, 0},
        {"redirects", redirect, 1, false, 302},
        {"redirects and stays", "HTTP/1.1 307 Temporary\r\nLocation: /o\r\nContent-Length: 0\r\n\r\n", 1, false, 307},
        {"asks for credentials", "HTTP/1.1 401 No\r\nWWW-Authenticate: Basic\r\nContent-Length: 0\r\n\r\n", 1, false,
         401},
        {"is unavailable", "HTTP/1.1 503 No\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n", 1, false, 503},
        {"answers", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1, false, 200},
    };
    for (const peer_case& sample : cases)
    {
        this->received.clear();
        this->connections = 0;
        const auto peer = this->listen(sample);
        std::vector<reply> replies;
        {
            control::client client{this->loop};
            client.send(peer->address(), {.method = "PUT", .path = "/v1/objects/a", .body = std::string(100, 'b')}, 2s,
                        [&replies](const reply& given) { replies.push_back(given); });
            // Long enough for a second attempt after the first one has ended.
            this->run_for(100ms);
        }
        UNSIGNED_LONGS_EQUAL_TEXT(1, this->connections, sample.name);
        CHECK_TRUE_TEXT(this->copies() <= 1, sample.name);
        UNSIGNED_LONGS_EQUAL_TEXT(1, replies.size(), sample.name);
        UNSIGNED_LONGS_EQUAL_TEXT(sample.status, replies[0].received ? replies[0].received->status : 0, sample.name);
        const bool is_sent = this->copies() == 1;
        CHECK_TRUE_TEXT(replies[0].received.has_value() || !is_sent || replies[0].may_have_been_sent, sample.name);
    }
}

// Guards against a second request on a connection that the server is about to close.
TEST(single_copy, each_request_has_its_own_connection)
{
    const peer_case behaviour{"answers", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1, false, 200};
    const auto peer = this->listen(behaviour);
    control::client client{this->loop};
    std::size_t answers = 0;
    for (int index = 0; index < 3; ++index)
    {
        client.send(peer->address(), {.path = "/a"}, 2s,
                    [&answers](const reply& given) { answers += given.received.has_value() ? 1 : 0; });
    }
    this->run_for(100ms);
    UNSIGNED_LONGS_EQUAL(3, this->connections);
    UNSIGNED_LONGS_EQUAL(3, answers);
}

// Guards against requests that leave through a proxy which the environment names.
TEST(single_copy, proxy_of_the_environment_is_not_used)
{
    const peer_case behaviour{"answers", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1, false, 200};
    const auto peer = this->listen(behaviour);
    setenv("http_proxy", "127.0.0.1:9", 1);
    control::client client{this->loop};
    unsetenv("http_proxy");
    std::vector<reply> replies;
    client.send(peer->address(), {.path = "/a"}, 2s, [&replies](const reply& given) { replies.push_back(given); });
    this->run_for(100ms);
    UNSIGNED_LONGS_EQUAL(1, this->connections);
    CHECK_TRUE(this->received.starts_with("GET /a HTTP/1.1\r\n"));
}
