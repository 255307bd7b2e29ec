#include <chrono> // milliseconds
#include <memory> // make_unique, shared_ptr, unique_ptr
#include <string> // string
#include <vector> // vector

#include "poplarport/http/server.hpp"
#include "poplarport/load/runner.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/standins/upstream/response_body.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

enum class server_answer
{
    right,
    other_key,     ///< the body of another request
    one_byte,      ///< the last byte differs
    short_body,    ///< one byte less
    long_body,     ///< one byte more
    foreign_field, ///< the right bytes with another request's key
    half,          ///< closes in the middle of the body
    silent         ///< does not answer
};

struct answer_case
{
    const char* name;
    int status;
    const char* outcome_field;
    bool not_run_field;
    bool key_field;
    server_answer answer;
    load::call_outcome expected;
    bool mismatch;
};

std::string body_of(const http::request_header& head, server_answer answer)
{
    const auto key = *head.fields.find(standins::request_key_field);
    const auto size = std::stoul(*head.fields.find(standins::response_bytes_field));
    auto body =
        standins::response_body(answer == server_answer::other_key ? key + "x" : key, standins::hash_of_body(""),
                                answer == server_answer::long_body ? size + 1 : size);
    if (answer == server_answer::one_byte)
    {
        body.back() = static_cast<char>(body.back() ^ 1);
    }
    if (answer == server_answer::short_body)
    {
        body.pop_back();
    }
    return body;
}

void answer_call(const std::shared_ptr<http::server_exchange>& exchange, const answer_case& tested)
{
    const auto body = body_of(exchange->request(), tested.answer);
    http::response_header head{
        .status = tested.status, .framing = http::body_framing::fixed, .content_length = body.size()};
    if (tested.outcome_field != nullptr)
    {
        head.fields.add("Poplar-Outcome", tested.outcome_field);
    }
    if (tested.not_run_field)
    {
        head.fields.add("Poplar-Not-Run", "true");
    }
    if (tested.key_field)
    {
        const auto key = *exchange->request().fields.find(standins::request_key_field);
        head.fields.add(standins::request_key_field, tested.answer == server_answer::foreign_field ? key + "x" : key);
    }
    exchange->send_header(head);
    if (tested.answer == server_answer::half)
    {
        exchange->send_body(std::string_view{body}.substr(0, body.size() / 2));
        exchange->abort();
        return;
    }
    exchange->send_body(body);
    exchange->finish();
}

load::plan make_plan(const core::socket_address& target)
{
    load::plan values;
    values.targets = {target};
    values.tenants = {{.name = "t", .secret = "s"}};
    values.calls = {load::call_kind{}};
    values.phases = {{.length = 100ms, .calls_per_second = 100.0, .arrivals = load::arrival_process::constant}};
    values.timeout = 200ms;
    return values;
}

// Runs a plan against a server that answers every call in the same way.
std::vector<load::call_sample> run_case(const answer_case& tested)
{
    net::event_loop loop;
    std::vector<std::shared_ptr<http::server_exchange>> held;
    const auto server = http::server::builder{}
                            .listen_on({"127.0.0.1", 0})
                            .on_request(
                                [&](const std::shared_ptr<http::server_exchange>& exchange)
                                {
                                    if (tested.answer == server_answer::silent)
                                    {
                                        held.push_back(exchange);
                                        return;
                                    }
                                    answer_call(exchange, tested);
                                })
                            .build(loop);
    load::call_ledger ledger{{}};
    load::runner calls{loop, make_plan(server.address()), ledger,
                       [&loop]
                       {
                           loop.stop();
                       }};
    calls.start();
    loop.run();
    return calls.samples();
}

using enum load::call_outcome;

const std::vector<answer_case> cases{
    {"told answered", 200, "answered", false, true, server_answer::right, answered, false},
    {"told answered without a key", 200, "answered", false, false, server_answer::right, answered, false},
    {"told answered, failed", 500, "answered", false, true, server_answer::right, answered, false},
    {"told answered, another body", 200, "answered", false, true, server_answer::other_key, answered, true},
    {"told answered, one byte", 200, "answered", false, true, server_answer::one_byte, answered, true},
    {"told answered, short", 200, "answered", false, true, server_answer::short_body, answered, true},
    {"told answered, long", 200, "answered", false, true, server_answer::long_body, answered, true},
    {"told answered, another key", 200, "answered", false, true, server_answer::foreign_field, answered, true},
    {"told answered, broken off", 200, "answered", false, true, server_answer::half, unknown, false},
    {"told not run", 503, "not_run", false, false, server_answer::right, not_run, false},
    {"told not run, broken off", 503, "not_run", false, false, server_answer::half, unknown, false},
    {"told unknown", 504, "unknown", false, false, server_answer::right, unknown, false},
    {"told unknown beside an upstream's refusal", 503, "unknown", true, false, server_answer::right, unknown, false},
    {"told something else", 200, "maybe", false, true, server_answer::right, refused, false},
    {"an upstream's answer", 200, nullptr, false, true, server_answer::right, answered, false},
    {"an upstream's wrong answer", 200, nullptr, false, true, server_answer::other_key, answered, true},
    {"an upstream's refusal", 503, nullptr, true, false, server_answer::right, not_run, false},
    {"no credentials", 401, nullptr, false, false, server_answer::right, refused, false},
    {"no answer", 200, nullptr, false, false, server_answer::silent, unknown, false},
};

} // namespace

TEST_GROUP(runner){};

// Guards against an answer that is taken for another outcome, and against wrong bytes that go unnoticed.
TEST(runner, outcome_follows_the_answer)
{
    for (const auto& tested : cases)
    {
        const auto samples = run_case(tested);
        CHECK_EQUAL_TEXT(10U, samples.size(), tested.name);
        for (const auto& sample : samples)
        {
            STRCMP_EQUAL_TEXT(std::string(load::to_string(tested.expected)).c_str(),
                              std::string(load::to_string(sample.outcome)).c_str(), tested.name);
            CHECK_EQUAL_TEXT(tested.mismatch, sample.body_mismatch, tested.name);
        }
    }
}

// Guards against a refused connection that is reported as unknown although no byte was sent.
TEST(runner, refused_connection_is_not_run)
{
    net::event_loop loop;
    core::socket_address closed;
    {
        const auto server =
            http::server::builder{}.listen_on({"127.0.0.1", 0}).on_request([](const auto&) {}).build(loop);
        closed = server.address();
    }
    load::call_ledger ledger{{}};
    load::runner calls{loop, make_plan(closed), ledger,
                       [&loop]
                       {
                           loop.stop();
                       }};
    calls.start();
    loop.run();
    CHECK_EQUAL(10U, calls.samples().size());
    for (const auto& sample : calls.samples())
    {
        CHECK(sample.outcome == not_run);
    }
}

// Guards against latencies that leave out the time for which a call waited for a connection.
TEST(runner, latency_counts_from_the_scheduled_time)
{
    net::event_loop loop;
    std::vector<std::unique_ptr<net::timer>> timers;
    const answer_case right = cases.front();
    const auto server = http::server::builder{}
                            .listen_on({"127.0.0.1", 0})
                            .on_request(
                                [&](const std::shared_ptr<http::server_exchange>& exchange)
                                {
                                    timers.push_back(std::make_unique<net::timer>(loop, [exchange, right]
                                                                                  { answer_call(exchange, right); }));
                                    timers.back()->schedule(30ms);
                                })
                            .build(loop);
    auto values = make_plan(server.address());
    values.connections = 1;
    values.timeout = 10s;
    load::call_ledger ledger{{}};
    load::runner calls{loop, values, ledger,
                       [&loop]
                       {
                           loop.stop();
                       }};
    calls.start();
    loop.run();
    // Ten calls, 10 ms apart, one at a time for 30 ms each: the last one waits for nine others.
    CHECK_EQUAL(10U, calls.samples().size());
    CHECK(calls.samples().back().latency >= 10 * 30ms - 90ms);
}
