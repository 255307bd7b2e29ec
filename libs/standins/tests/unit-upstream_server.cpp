#include <chrono>     // milliseconds
#include <filesystem> // path, temp_directory_path
#include <fstream>    // ifstream
#include <functional> // function
#include <memory>     // shared_ptr
#include <sstream>    // ostringstream
#include <string>     // string
#include <vector>     // vector

#include <unistd.h>

#include "poplarport/http/client_connection.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/standins/upstream/response_body.hpp"
#include "poplarport/standins/upstream/upstream_server.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

struct client_call
{
    int status{0};
    std::string body{};
    bool not_run{false};
    bool ended{false};
    bool failed{false};
    std::shared_ptr<http::client_connection> connection{};
};

struct call_options
{
    std::string method{"GET"};
    std::string target{"/quotes"};
    std::string body{};
    std::string deadline_ms{};
};

// A stand-in with its own event loop and a ledger in a temporary file.
struct fixture
{
    explicit fixture(standins::upstream_settings settings = {})
    {
        static int count = 0;
        this->ledger = std::filesystem::temp_directory_path() /
                       ("unit-upstream-" + std::to_string(::getpid()) + "-" + std::to_string(++count));
        std::filesystem::remove(this->ledger);
        settings.ledger = this->ledger;
        settings.control = core::socket_address{"127.0.0.1", 0};
        this->upstream = std::make_unique<standins::upstream_server>(this->loop, settings);
    }

    ~fixture()
    {
        // The hooks of an open call keep it and its connection alive.
        for (const auto& opened : this->calls)
        {
            opened->connection->abort();
        }
        std::filesystem::remove(this->ledger);
    }

    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;

    std::shared_ptr<client_call> call(const std::string& key, const call_options& options = {})
    {
        return this->call_at(this->upstream->address(), key, options);
    }

    std::shared_ptr<client_call> call_at(const core::socket_address& address, const std::string& key,
                                         const call_options& options)
    {
        auto result = std::make_shared<client_call>();
        result->connection = http::client_connection::connect(this->loop, address, 5s);
        this->calls.push_back(result);
        http::request_header header{.method = options.method, .target = options.target};
        header.fields.add("Host", "test");
        header.fields.add(standins::request_key_field, key);
        if (!options.deadline_ms.empty())
        {
            header.fields.add("poplar-deadline-ms", options.deadline_ms);
        }
        if (!options.body.empty())
        {
            header.framing = http::body_framing::fixed;
            header.content_length = options.body.size();
        }
        const auto read_header = [result](const http::response_header& response)
        {
            const auto* const not_run = response.fields.find("Poplar-Not-Run");
            result->status = response.status;
            result->not_run = not_run != nullptr && *not_run == "true";
        };
        result->connection->start(header, {.on_interim = {},
                                           .on_response_header = read_header,
                                           .on_body = [result](std::string_view bytes) { result->body.append(bytes); },
                                           .on_end = [result] { result->ended = true; },
                                           .on_writable = {},
                                           .on_failed =
                                               [result](const http::client_failure&)
                                           {
                                               result->failed = true;
                                           }});
        result->connection->send_body(options.body);
        result->connection->finish_request();
        return result;
    }

    // Runs the loop until the condition holds or the time is up.
    bool run_until(const std::function<bool()>& condition, core::duration timeout = 10s)
    {
        bool expired = false;
        net::timer timer{this->loop, [&]
                         {
                             expired = true;
                         }};
        timer.schedule(timeout);
        while (!condition() && !expired)
        {
            this->loop.run_once();
        }
        return !expired;
    }

    bool finish(const std::shared_ptr<client_call>& running)
    {
        return this->run_until([running] { return running->ended || running->failed; });
    }

    // Returns the ledger as words "event:key"; the end of a run that was not completed is prefixed with "-".
    std::string ledger_events() const
    {
        std::ifstream input{this->ledger};
        std::string events;
        for (std::string line; std::getline(input, line);)
        {
            const auto contains = [&line](const char* text)
            {
                return line.find(text) != std::string::npos;
            };
            const auto key = line.find("\"key\":\"") + 7;
            events += events.empty() ? "" : " ";
            events += contains("\"completed\":false") ? "-" : "";
            events += contains("\"event\":\"start\"") ? "start:" : "end:";
            events += line.substr(key, line.find('"', key) - key);
        }
        return events;
    }

    net::event_loop loop{};
    std::vector<std::shared_ptr<client_call>> calls{};
    std::filesystem::path ledger{};
    std::unique_ptr<standins::upstream_server> upstream{};
};

standins::upstream_settings settings_with(std::uint32_t slots, std::uint32_t queue, double service_ms)
{
    standins::upstream_settings settings;
    settings.slots = slots;
    settings.queue = queue;
    settings.service.mean = standins::fractional_milliseconds{service_ms};
    return settings;
}

} // namespace

TEST_GROUP(upstream_server){};

// The load tool recomputes the body from key and request to detect foreign bytes.
TEST(upstream_server, response_body_is_derived_from_key_and_body)
{
    fixture tested;
    const auto call = tested.call("k", {.method = "POST", .target = "/confirmations", .body = "order"});
    CHECK(tested.finish(call));
    CHECK_EQUAL(200, call->status);
    CHECK(call->body == standins::response_body("k", standins::hash_of_body("order"), 128));
    STRCMP_EQUAL("start:k end:k", tested.ledger_events().c_str());
}

// More requests than slots could run, or a shed request could be in the ledger as started.
TEST(upstream_server, sheds_requests_above_slots_and_queue)
{
    fixture tested{settings_with(1, 1, 30.0)};
    const auto running = tested.call("running");
    CHECK(tested.run_until([&] { return tested.upstream->load().in_flight == 1; }));
    const auto queued = tested.call("queued");
    CHECK(tested.run_until([&] { return tested.upstream->load().queued == 1; }));
    const auto shed = tested.call("shed");
    CHECK(tested.finish(shed));
    CHECK_EQUAL(503, shed->status);
    CHECK(shed->not_run);
    CHECK(tested.finish(running));
    CHECK(tested.finish(queued));
    CHECK_EQUAL(200, queued->status);
    STRCMP_EQUAL("start:running end:running start:queued end:queued", tested.ledger_events().c_str());
}

// A request could start after its deadline, either on arrival or when it leaves the queue.
TEST(upstream_server, starts_no_request_after_its_deadline)
{
    fixture tested{settings_with(1, 4, 60.0)};
    const auto running = tested.call("running");
    CHECK(tested.run_until([&] { return tested.upstream->load().in_flight == 1; }));
    const auto expired_on_arrival = tested.call("passed", {.deadline_ms = "0"});
    const auto expires_in_queue = tested.call("passes", {.deadline_ms = "5"});
    CHECK(tested.finish(expired_on_arrival));
    CHECK(tested.finish(expires_in_queue));
    CHECK(expired_on_arrival->not_run && expires_in_queue->not_run);
    CHECK(tested.finish(running));
    STRCMP_EQUAL("start:running end:running", tested.ledger_events().c_str());
}

// A run must end when its caller closes the connection, and the ledger must not record it as completed.
TEST(upstream_server, closed_connection_cancels_its_request)
{
    fixture tested{settings_with(1, 4, 60'000.0)};
    const auto running = tested.call("running");
    CHECK(tested.run_until([&] { return tested.upstream->load().in_flight == 1; }));
    const auto queued = tested.call("queued");
    CHECK(tested.run_until([&] { return tested.upstream->load().queued == 1; }));
    queued->connection->abort();
    CHECK(tested.run_until([&] { return tested.upstream->load().queued == 0; }));
    running->connection->abort();
    CHECK(tested.run_until([&] { return tested.upstream->load().in_flight == 0; }));
    STRCMP_EQUAL("start:running -end:running", tested.ledger_events().c_str());
}

// A fault could be accepted without effect.
TEST(upstream_server, each_fault_changes_the_response)
{
    struct fault_case
    {
        const char* faults;
        const char* target;
        int status; ///< zero when the connection breaks
        bool not_run;
        const char* events;
    };
    const std::vector<fault_case> cases{
        {"{}", "/quotes", 200, false, "start:k end:k"},
        {R"({"shed":true})", "/quotes", 503, true, ""},
        {R"({"drain":"refuse"})", "/quotes", 503, true, ""},
        {R"({"drain":"announce"})", "/quotes", 200, false, "start:k end:k"},
        {R"({"fail_fast":true})", "/quotes", 500, false, "start:k end:k"},
        {"{}", "/health", 200, false, ""},
        {R"({"drain":"announce"})", "/health", 503, false, ""},
        {R"({"report":"failing"})", "/health", 503, false, ""},
        {R"({"report":"idle","drain":"announce"})", "/health", 200, false, ""},
        {R"({"report_delay_ms":20})", "/load", 200, false, ""},
    };
    for (const auto& tested_case : cases)
    {
        fixture tested{settings_with(1, 1, 1.0)};
        tested.upstream->set_faults(standins::merge_faults({}, tested_case.faults));
        const auto call = tested.call("k", {.target = tested_case.target});
        CHECK(tested.finish(call));
        CHECK_EQUAL_TEXT(tested_case.status, call->status, tested_case.faults);
        CHECK_EQUAL_TEXT(tested_case.not_run, call->not_run, tested_case.faults);
        STRCMP_EQUAL_TEXT(tested_case.events, tested.ledger_events().c_str(), tested_case.faults);
    }
}

// A cold start or a service time factor could be ignored. Only lower bounds are checked, since a slow machine lengthens
// the times.
TEST(upstream_server, cold_start_and_factor_lengthen_service_times)
{
    struct slow_case
    {
        std::chrono::milliseconds cold_start;
        double service_time_factor;
        std::chrono::milliseconds min_duration;
    };
    for (const auto& tested_case : {slow_case{60s, 1.0, 40ms}, slow_case{0ms, 5.0, 50ms}, slow_case{60s, 2.0, 80ms}})
    {
        auto settings = settings_with(1, 1, 10.0);
        settings.cold_start = tested_case.cold_start;
        settings.cold_factor = 4.0;
        settings.initial_faults.service_time_factor = tested_case.service_time_factor;
        fixture tested{settings};
        const auto start = tested.loop.now();
        CHECK(tested.finish(tested.call("k")));
        CHECK(tested.loop.now() - start >= tested_case.min_duration);
    }
}

// A response that is cut in the middle must not look complete to the client.
TEST(upstream_server, close_mid_response_breaks_the_connection)
{
    fixture tested{settings_with(1, 1, 1.0)};
    tested.upstream->set_faults({.close_mid_response = true});
    const auto call = tested.call("k");
    CHECK(tested.finish(call));
    CHECK(call->failed && !call->ended);
    STRCMP_EQUAL("start:k end:k", tested.ledger_events().c_str());
}

// A frozen stand-in must not start a request, respond or close a connection, and must not lose requests that it
// received while frozen.
TEST(upstream_server, freeze_suspends_all_requests_until_it_ends)
{
    fixture tested{settings_with(2, 1, 5.0)};
    const auto running = tested.call("running");
    CHECK(tested.run_until([&] { return tested.upstream->load().in_flight == 1; }));
    tested.upstream->set_faults({.freeze = true});
    const auto sent_while_frozen = tested.call("parked");
    const auto health = tested.call("health", {.target = "/health"});
    const auto any_ended = [&]
    {
        return running->ended || running->failed || sent_while_frozen->ended || sent_while_frozen->failed ||
               health->ended || health->failed;
    };
    CHECK(!tested.run_until(any_ended, 100ms));
    STRCMP_EQUAL("start:running", tested.ledger_events().c_str());
    tested.upstream->set_faults({});
    CHECK(tested.finish(running));
    CHECK(tested.finish(sent_while_frozen));
    CHECK(tested.finish(health));
    CHECK_EQUAL(200, running->status);
    CHECK_EQUAL(200, sent_while_frozen->status);
    CHECK_EQUAL(200, health->status);
}

// The report modes and the lag must change the reported load, not only the stored faults.
TEST(upstream_server, load_reports_follow_report_mode_and_lag)
{
    struct report_case
    {
        const char* faults;
        const char* in_flight;
    };
    for (const auto& tested_case : std::vector<report_case>{{"{}", "\"in_flight\":1"},
                                                            {R"({"report":"idle"})", "\"in_flight\":0"},
                                                            {R"({"report":"busy"})", "\"in_flight\":3"},
                                                            {R"({"report_lag_ms":60000})", "\"in_flight\":0"}})
    {
        fixture tested{settings_with(3, 2, 60'000.0)};
        tested.upstream->set_faults(standins::merge_faults({}, tested_case.faults));
        const auto running = tested.call("running");
        CHECK(tested.run_until([&] { return tested.upstream->load().in_flight == 1; }));
        const auto load = tested.call("load", {.target = "/load"});
        CHECK(tested.finish(load));
        CHECK_TEXT(load->body.find(tested_case.in_flight) != std::string::npos, load->body.c_str());
    }
}

// A stop could interrupt a running request or start a new one.
TEST(upstream_server, stop_finishes_running_requests_and_refuses_new_ones)
{
    auto settings = settings_with(1, 1, 100.0);
    settings.stop_grace = 1ms;
    fixture tested{settings};
    const auto running = tested.call("running");
    CHECK(tested.run_until([&] { return tested.upstream->load().in_flight == 1; }));
    bool stopped = false;
    tested.upstream->stop([&] { stopped = true; });
    const auto late = tested.call("late");
    CHECK(tested.finish(late));
    CHECK(late->not_run);
    CHECK(!stopped);
    CHECK(tested.finish(running));
    CHECK_EQUAL(200, running->status);
    CHECK(tested.run_until([&] { return stopped; }));
}

// The control address could ignore a change, accept an unknown key or return no counts.
TEST(upstream_server, control_address_changes_faults_and_returns_status)
{
    fixture tested;
    const auto control = *tested.upstream->control_address();
    const auto changed =
        tested.call_at(control, "", {.method = "POST", .target = "/faults", .body = R"({"straggle":7})"});
    CHECK(tested.finish(changed));
    CHECK_EQUAL(200, changed->status);
    DOUBLES_EQUAL(7.0, tested.upstream->current_faults().service_time_factor, 0.0);
    const auto rejected = tested.call_at(control, "", {.method = "POST", .target = "/faults", .body = "{\"x\":1}"});
    CHECK(tested.finish(rejected));
    CHECK_EQUAL(400, rejected->status);
    const auto status = tested.call_at(control, "", {.target = "/status"});
    CHECK(tested.finish(status));
    CHECK(status->body.find("\"started\":0") != std::string::npos);
}
