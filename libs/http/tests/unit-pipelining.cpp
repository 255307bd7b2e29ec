#include "poplarport/http/server.hpp"

#include <memory> // shared_ptr, unique_ptr
#include <string> // string
#include <vector> // vector

#include "poplarport/net/stream_socket.hpp"
#include "run_until.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace poplarport::http;
using namespace std::chrono_literals;

namespace
{

constexpr core::duration connect_timeout = 5s;
const core::socket_address loopback{"127.0.0.1", 0};

// A caller that pipelines requests to a server that holds its exchanges; GET requests may overlap.
struct pipelining_caller
{
    net::event_loop loop{};
    std::vector<std::shared_ptr<http::server_exchange>> begun{};
    std::vector<std::string> cancelled{};
    std::string received{};
    bool closed{false};
    http::server server;
    std::unique_ptr<net::stream_socket> socket{};

    explicit pipelining_caller(const std::string& text)
        : server(
              http::server::builder{}
                  .listen_on(loopback)
                  .overlap_if([](const http::request_header& head) { return head.method == "GET"; })
                  .on_request([this](const std::shared_ptr<http::server_exchange>& exchange) { this->begin(exchange); })
                  .build(this->loop))
    {
        this->socket =
            net::stream_socket::connect(this->loop, this->server.address(), connect_timeout,
                                        {.on_connected = [this, text] { this->socket->send(text); },
                                         .on_bytes = [this](std::string_view bytes) { this->received.append(bytes); },
                                         .on_drained = {},
                                         .on_closed =
                                             [this](std::error_code)
                                         {
                                             this->closed = true;
                                         }});
    }

    void begin(const std::shared_ptr<http::server_exchange>& exchange)
    {
        this->begun.push_back(exchange);
        exchange->set_hooks({.on_body = {},
                             .on_body_end = {},
                             .on_writable = {},
                             .on_cancelled = [this, target = exchange->request().target](std::error_code)
                             {
                                 this->cancelled.push_back(target);
                             }});
    }

    bool begins(std::size_t count)
    {
        return run_until(this->loop, [&] { return this->begun.size() == count; });
    }

    // Runs the loop for long enough that whatever is under way has arrived.
    void settle()
    {
        static_cast<void>(run_until(
            this->loop, [] { return false; }, 50ms));
    }

    void answer(std::size_t position)
    {
        const auto exchange = this->begun.at(position);
        http::respond(*exchange, {.status = 200}, "answer to " + exchange->request().target);
    }
};

constexpr const char* two_gets_and_a_post = "GET /1 HTTP/1.1\r\nHost: t\r\n\r\nGET /2 HTTP/1.1\r\nHost: t\r\n\r\n"
                                            "POST /3 HTTP/1.1\r\nHost: t\r\nContent-Length: 0\r\n\r\n";

} // namespace

TEST_GROUP(pipelining){};

// Guards against pipelined requests that wait for each other, answers in another order, and a request that starts
// although it may not run beside others.
TEST(pipelining, overlapping_requests_are_answered_in_order)
{
    pipelining_caller caller{two_gets_and_a_post};
    CHECK(caller.begins(2));
    caller.answer(1);
    caller.settle();
    STRCMP_EQUAL("", caller.received.c_str());
    LONGS_EQUAL(2, caller.begun.size());
    caller.answer(0);
    CHECK(caller.begins(3));
    caller.answer(2);
    CHECK(run_until(caller.loop, [&] { return caller.received.find("to /3") != std::string::npos; }));
    CHECK(caller.received.find("to /1") < caller.received.find("to /2"));
    CHECK(caller.received.find("to /2") < caller.received.find("to /3"));
    CHECK_FALSE(caller.closed);
}

// Guards against a stop that closes the connection while an overlapping request still runs.
TEST(pipelining, only_the_last_overlapping_answer_closes_a_draining_connection)
{
    pipelining_caller caller{two_gets_and_a_post};
    CHECK(caller.begins(2));
    caller.server.drain();
    caller.answer(0);
    caller.settle();
    CHECK(caller.received.find("to /1") != std::string::npos);
    CHECK(caller.received.find("Connection: close") == std::string::npos);
    caller.answer(1);
    CHECK(run_until(caller.loop, [&] { return caller.closed; }));
    CHECK(caller.received.find("to /2") != std::string::npos);
    CHECK(caller.received.find("Connection: close") != std::string::npos);
    LONGS_EQUAL(2, caller.begun.size());
    LONGS_EQUAL(0, caller.cancelled.size());
}

// Guards against a faulty later request that destroys the answers to earlier ones.
TEST(pipelining, a_fault_behind_overlapping_requests_is_refused_after_their_answers)
{
    pipelining_caller caller{"GET /1 HTTP/1.1\r\nHost: t\r\n\r\nGET /2 HTTP/1.1\r\nHost: t\r\n\r\nnonsense\r\n\r\n"};
    CHECK(caller.begins(2));
    caller.settle();
    STRCMP_EQUAL("", caller.received.c_str());
    caller.answer(0);
    caller.answer(1);
    CHECK(run_until(caller.loop, [&] { return caller.closed; }));
    const auto refusal = caller.received.find("HTTP/1.1 400");
    CHECK(refusal != std::string::npos);
    CHECK(caller.received.find("to /2") < refusal);
}

// Guards against a broken later answer that destroys an earlier one, or that looks complete.
TEST(pipelining, a_broken_overlapping_answer_ends_the_connection_in_its_turn)
{
    pipelining_caller caller{"GET /1 HTTP/1.1\r\nHost: t\r\n\r\nGET /2 HTTP/1.1\r\nHost: t\r\n\r\n"
                             "GET /3 HTTP/1.1\r\nHost: t\r\n\r\n"};
    CHECK(caller.begins(3));
    caller.begun[1]->send_header({.status = 200, .framing = http::body_framing::chunked});
    caller.begun[1]->abort();
    caller.answer(2);
    caller.settle();
    STRCMP_EQUAL("", caller.received.c_str());
    caller.answer(0);
    CHECK(run_until(caller.loop, [&] { return caller.closed; }));
    CHECK(caller.received.find("to /1") != std::string::npos);
    CHECK(caller.received.find("HTTP/1.1 200") == caller.received.rfind("HTTP/1.1 200"));
}

// Guards against overlapping requests that go on after their caller has left.
TEST(pipelining, a_caller_that_leaves_cancels_all_overlapping_requests)
{
    pipelining_caller caller{two_gets_and_a_post};
    CHECK(caller.begins(2));
    caller.socket->reset();
    CHECK(run_until(caller.loop, [&] { return caller.cancelled.size() == 2; }));
    STRCMP_EQUAL("/1", caller.cancelled[0].c_str());
    STRCMP_EQUAL("/2", caller.cancelled[1].c_str());
    LONGS_EQUAL(2, caller.begun.size());
}
