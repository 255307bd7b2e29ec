#include <chrono> // milliseconds
#include <memory> // make_unique, shared_ptr, unique_ptr
#include <string> // string
#include <thread> // this_thread::sleep_for
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

enum class server_response
{
    correct,
    other_key,         ///< the body of another request
    last_byte_differs, ///< the last byte differs
    short_body,        ///< one byte less
    long_body,         ///< one byte more
    foreign_field,     ///< the correct bytes with another request's key
    truncated,         ///< closes in the middle of the body
    silent             ///< does not respond
};

struct response_case
{
    const char* name;
    int status;
    const char* outcome_field;
    bool not_run_field;
    bool key_field;
    server_response response;
    load::call_outcome expected;
    bool mismatch;
};

std::string body_of(const http::request_header& header, server_response response)
{
    const auto key = *header.fields.find(standins::request_key_field);
    const auto size = std::stoul(*header.fields.find(standins::response_bytes_field));
    auto body =
        standins::response_body(response == server_response::other_key ? key + "x" : key, standins::hash_of_body(""),
                                response == server_response::long_body ? size + 1 : size);
    if (response == server_response::last_byte_differs)
    {
        body.back() = static_cast<char>(body.back() ^ 1);
    }
    if (response == server_response::short_body)
    {
        body.pop_back();
    }
    return body;
}

void respond(const std::shared_ptr<http::server_exchange>& exchange, const response_case& tested)
{
    const auto body = body_of(exchange->request(), tested.response);
    http::response_header header{
        .status = tested.status, .framing = http::body_framing::fixed, .content_length = body.size()};
    if (tested.outcome_field != nullptr)
    {
        header.fields.add("Poplar-Outcome", tested.outcome_field);
    }
    if (tested.not_run_field)
    {
        header.fields.add("Poplar-Not-Run", "true");
    }
    if (tested.key_field)
    {
        const auto key = *exchange->request().fields.find(standins::request_key_field);
        header.fields.add(standins::request_key_field,
                          tested.response == server_response::foreign_field ? key + "x" : key);
    }
    exchange->send_header(header);
    if (tested.response == server_response::truncated)
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
    load::plan run_plan;
    run_plan.targets = {target};
    run_plan.tenants = {{.name = "t", .secret = "s"}};
    run_plan.calls = {load::call_kind{}};
    run_plan.phases = {{.length = 100ms, .calls_per_second = 100.0, .arrivals = load::arrival_process::constant}};
    run_plan.timeout = 200ms;
    return run_plan;
}

// Runs a plan against a server that responds to every call in the same way.
std::vector<load::call_sample> run_case(const response_case& tested)
{
    net::event_loop loop;
    std::vector<std::shared_ptr<http::server_exchange>> open_exchanges;
    const auto server = http::server::builder{}
                            .listen_on({"127.0.0.1", 0})
                            .on_request(
                                [&](const std::shared_ptr<http::server_exchange>& exchange)
                                {
                                    if (tested.response == server_response::silent)
                                    {
                                        open_exchanges.push_back(exchange);
                                        return;
                                    }
                                    respond(exchange, tested);
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

const std::vector<response_case> cases{
    {"reported answered", 200, "answered", false, true, server_response::correct, answered, false},
    {"reported answered without a key", 200, "answered", false, false, server_response::correct, answered, false},
    {"reported answered, failed", 500, "answered", false, true, server_response::correct, answered, false},
    {"reported answered, another body", 200, "answered", false, true, server_response::other_key, answered, true},
    {"reported answered, one byte", 200, "answered", false, true, server_response::last_byte_differs, answered, true},
    {"reported answered, short", 200, "answered", false, true, server_response::short_body, answered, true},
    {"reported answered, long", 200, "answered", false, true, server_response::long_body, answered, true},
    {"reported answered, another key", 200, "answered", false, true, server_response::foreign_field, answered, true},
    {"reported answered, interrupted", 200, "answered", false, true, server_response::truncated, unknown, false},
    {"reported not run", 503, "not_run", false, false, server_response::correct, not_run, false},
    {"reported not run, interrupted", 503, "not_run", false, false, server_response::truncated, unknown, false},
    {"reported unknown", 504, "unknown", false, false, server_response::correct, unknown, false},
    {"reported unknown beside an upstream's refusal", 503, "unknown", true, false, server_response::correct, unknown,
     false},
    {"reported something else", 200, "maybe", false, true, server_response::correct, refused, false},
    {"an upstream's response", 200, nullptr, false, true, server_response::correct, answered, false},
    {"an upstream's wrong response", 200, nullptr, false, true, server_response::other_key, answered, true},
    {"an upstream's refusal", 503, nullptr, true, false, server_response::correct, not_run, false},
    {"no credentials", 401, nullptr, false, false, server_response::correct, refused, false},
    {"no response", 200, nullptr, false, false, server_response::silent, unknown, false},
};

} // namespace

TEST_GROUP(runner){};

// A response can be classified as a wrong outcome, or a wrong body can pass unnoticed, if a header field is ignored or
// the body is compared only in part.
TEST(runner, outcome_follows_the_response)
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

// A call whose connection was refused has sent no byte, so that reporting it as unknown would be wrong.
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

// Latencies that start when the request is sent omit the time for which the call waited for a connection.
TEST(runner, latency_counts_from_the_scheduled_time)
{
    net::event_loop loop;
    std::vector<std::unique_ptr<net::timer>> timers;
    const response_case correct = cases.front();
    const auto server = http::server::builder{}
                            .listen_on({"127.0.0.1", 0})
                            .on_request(
                                [&](const std::shared_ptr<http::server_exchange>& exchange)
                                {
                                    timers.push_back(std::make_unique<net::timer>(loop, [exchange, correct]
                                                                                  { respond(exchange, correct); }));
                                    timers.back()->schedule(30ms);
                                })
                            .build(loop);
    auto run_plan = make_plan(server.address());
    run_plan.connections = 1;
    run_plan.timeout = 10s;
    load::call_ledger ledger{{}};
    load::runner calls{loop, run_plan, ledger,
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

// A pause of the load tool that it does not notice counts against the system under test.
TEST(runner, a_pause_of_the_process_is_recorded)
{
    net::event_loop loop;
    const response_case correct = cases.front();
    const auto server =
        http::server::builder{}
            .listen_on({"127.0.0.1", 0})
            .on_request([&](const std::shared_ptr<http::server_exchange>& exchange) { respond(exchange, correct); })
            .build(loop);
    const auto run_plan = make_plan(server.address());
    load::call_ledger ledger{{}};
    load::runner calls{loop, run_plan, ledger,
                       [&loop]
                       {
                           loop.stop();
                       }};
    static constexpr auto pause = 200ms;
    net::timer blocker{loop, []
                       {
                           std::this_thread::sleep_for(pause);
                       }};
    blocker.schedule(25ms);
    calls.start();
    loop.run();
    CHECK_EQUAL(1U, calls.pauses().size());
    const auto& recorded = calls.pauses().front();
    CHECK(recorded.begin >= 15ms && recorded.begin <= 45ms);
    CHECK(recorded.end - recorded.begin >= pause - 20ms);
}
