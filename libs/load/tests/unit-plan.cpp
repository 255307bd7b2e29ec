#include <algorithm> // count_if, is_sorted
#include <chrono>    // milliseconds
#include <stdexcept> // invalid_argument
#include <string>    // string
#include <vector>    // vector

#include "poplarport/load/plan.hpp"
#include "poplarport/load/report.hpp"
#include "poplarport/load/schedule.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

std::vector<core::duration> offsets_of(const std::vector<load::phase>& phases, std::uint64_t seed)
{
    load::schedule arrivals{phases, seed};
    std::vector<core::duration> result;
    while (const auto next = arrivals.next())
    {
        result.push_back(next->offset);
    }
    return result;
}

const std::string full_plan = R"(
name = "steps"
seed = 7
targets = ["127.0.0.1:8001", "[::1]:8002"]
target_choice = "by_key"
service = "orders"
deadline_ms = 500
timeout_ms = 900
connections = 12
[[tenant]]
name = "growers"
secret = "s"
weight = 2
[[call]]
method = "POST"
path = "/confirmations"
repeatable = false
weight = 0.5
request_bytes = [1, 100]
answer_bytes = [0, 200]
[[phase]]
name = "warm"
length_ms = 1000
calls_per_second = 50
arrivals = "constant"
[[phase]]
name = "peak"
length_ms = 2000
calls_per_second = 200.5
)";

} // namespace

TEST_GROUP(plan){};

// Arrivals at another rate, out of order or different for the same seed make runs incomparable.
TEST(plan, schedule_has_the_rate_and_is_deterministic)
{
    const std::vector<load::phase> phases{
        {.length = 10s, .calls_per_second = 100.0, .arrivals = load::arrival_process::poisson},
        {.length = 5s, .calls_per_second = 0.0},
        {.length = 1s, .calls_per_second = 10.0, .arrivals = load::arrival_process::constant}};
    const auto offsets = offsets_of(phases, 3);
    CHECK(offsets == offsets_of(phases, 3));
    CHECK(offsets != offsets_of(phases, 4));
    CHECK(std::is_sorted(offsets.begin(), offsets.end()));
    const auto in_first = std::count_if(offsets.begin(), offsets.end(), [](core::duration at) { return at < 10s; });
    // Four standard deviations of a Poisson count of 1000.
    CHECK(in_first > 1000 - 127 && in_first < 1000 + 127);
    CHECK_EQUAL(static_cast<std::size_t>(in_first) + 10, offsets.size());
    CHECK(offsets[static_cast<std::size_t>(in_first)] >= 15s);
}

// A key of the settings file can be ignored, or stored in the wrong member.
TEST(plan, settings_file_is_read)
{
    const auto run_plan = load::read_plan(full_plan, "plan.toml", {});
    STRCMP_EQUAL("steps", run_plan.name.c_str());
    CHECK_EQUAL(7U, run_plan.seed);
    CHECK_EQUAL(2U, run_plan.targets.size());
    CHECK(run_plan.targets[1] == (core::socket_address{"::1", 8002}));
    CHECK(run_plan.choice == load::target_choice::by_key);
    STRCMP_EQUAL("orders", run_plan.service.c_str());
    CHECK(run_plan.deadline == 500ms);
    CHECK(run_plan.timeout == 900ms);
    CHECK_EQUAL(12U, run_plan.connections);
    STRCMP_EQUAL("growers", run_plan.tenants.at(0).name.c_str());
    STRCMP_EQUAL("s", run_plan.tenants.at(0).secret.c_str());
    DOUBLES_EQUAL(2.0, run_plan.tenants.at(0).weight, 0.0);
    const auto& kind = run_plan.calls.at(0);
    STRCMP_EQUAL("POST /confirmations", kind.name().c_str());
    CHECK(!kind.repeatable);
    DOUBLES_EQUAL(0.5, kind.weight, 0.0);
    CHECK_EQUAL(100U, kind.request_bytes.max);
    CHECK_EQUAL(200U, kind.response_bytes.max);
    CHECK_EQUAL(2U, run_plan.phases.size());
    CHECK(run_plan.phases[0].arrivals == load::arrival_process::constant);
    CHECK(run_plan.phases[1].arrivals == load::arrival_process::poisson);
    CHECK(run_plan.phases[1].length == 2s);
    DOUBLES_EQUAL(200.5, run_plan.phases[1].calls_per_second, 0.0);
    CHECK(load::check(run_plan).empty());
}

// A reader that stops at the first fault reports the others only in later runs. A message without the line is hard to
// use, and one that quotes the value can leak a secret.
TEST(plan, all_faults_of_a_settings_file_are_reported)
{
    const std::string text = "seed = -1\n"
                             "targets = [\"localhost\"]\n"
                             "rate = 5\n"
                             "[[tenant]]\n"
                             "secret = 5551212\n"
                             "[[phase]]\n"
                             "arrivals = \"uniform\"\n";
    std::string message;
    try
    {
        (void)load::read_plan(text, "plan.toml", {});
    }
    catch (const std::invalid_argument& fault)
    {
        message = fault.what();
    }
    for (const auto* expected :
         {"plan.toml:1: seed: allowed: a whole number",
          "plan.toml:2: targets: ", "plan.toml:3: rate: allowed: no such key; known here: call, connections",
          "plan.toml:5: tenant.secret: ", "plan.toml:7: phase.arrivals: allowed: constant, poisson"})
    {
        CHECK_TEXT(message.find(expected) != std::string::npos, (expected + (" not in " + message)).c_str());
    }
    CHECK(message.find("5551212") == std::string::npos);
    CHECK_THROWS(std::invalid_argument, (void)load::read_plan("seed = ", "plan.toml", {}));
}

// Without this check, an invalid plan fails only while it runs.
TEST(plan, check_reports_every_invalid_setting)
{
    CHECK_EQUAL(4U, load::check({}).size());
    auto run_plan = load::read_plan(full_plan, "plan.toml", {});
    run_plan.calls[0].path = "confirmations";
    run_plan.calls[0].response_bytes = {5, 4};
    run_plan.phases[0].length = 0ms;
    run_plan.phases[1].calls_per_second = -1.0;
    run_plan.tenants[0].weight = 0.0;
    run_plan.connections = 0;
    run_plan.deadline = 0ms;
    CHECK_EQUAL(7U, load::check(run_plan).size());
}

// A pause of the load tool makes calls late that the system served in time. They must be told apart from the others,
// and no other call may be left out.
TEST(plan, report_separates_the_calls_that_a_pause_of_the_load_tool_affects)
{
    const auto run_plan = load::read_plan(full_plan, "plan.toml", {});
    struct pause_case
    {
        const char* name;
        std::chrono::microseconds offset;
        std::chrono::microseconds latency;
        bool is_undisturbed;
    };
    const pause_case cases[] = {{"ended before", 80ms, 19ms, true},
                                {"in progress", 80ms, 500ms, false},
                                {"due meanwhile", 300ms, 200ms, false},
                                {"ended meanwhile", 90ms, 11ms, false},
                                {"due while the overdue calls are in progress", 500ms, 10ms, false},
                                {"due after", 541ms, 900ms, true}};
    const load::call_sample overdue{.offset = 440ms, .latency = 100ms, .outcome = load::call_outcome::answered};
    for (const auto& each : cases)
    {
        const load::call_sample sample{
            .offset = each.offset, .latency = each.latency, .outcome = load::call_outcome::answered};
        const auto result = load::summarise(run_plan, {sample, overdue}, {{100ms, 450ms}});
        CHECK_EQUAL_TEXT(each.is_undisturbed ? 1U : 0U, result.undisturbed.calls(), each.name);
        CHECK_EQUAL_TEXT(2U, result.total.calls(), each.name);
        CHECK(load::to_text(result).find("350.00 ms in 1 pauses") != std::string::npos);
        CHECK(load::to_json(result).find("\"end_ms\": 450.0") != std::string::npos);
    }
}

// A call can be counted in the wrong group, or be missing from the histogram.
TEST(plan, report_groups_by_tenant_kind_and_phase)
{
    auto run_plan = load::read_plan(full_plan, "plan.toml", {});
    run_plan.name = "<a&b>";
    run_plan.tenants.push_back({.name = "dealers"});
    std::vector<load::call_sample> samples;
    for (int index = 1; index <= 200; ++index)
    {
        samples.push_back({.offset = index * 10ms,
                           .latency = index * 1ms,
                           .tenant = index % 2 == 0 ? 0U : 1U,
                           .phase = index < 100 ? 0U : 1U,
                           .outcome = load::call_outcome::answered});
    }
    samples.push_back({.latency = 900ms, .outcome = load::call_outcome::unknown});
    const auto result = load::summarise(run_plan, samples, {});
    CHECK_EQUAL(201U, result.total.calls());
    CHECK_EQUAL(200U, result.total.latencies.size());
    CHECK_EQUAL(100U, result.groups.at(0).answered);
    CHECK_EQUAL(1U, result.groups.at(0).unknown);
    CHECK_EQUAL(100U, result.groups.at(1).answered);
    CHECK_EQUAL(101U, result.phases.at(1).answered);
    CHECK_EQUAL(3U, result.seconds.size());
    CHECK(result.seconds[1].p50 == 149ms);
    std::size_t counted = 0;
    auto previous_upper = 0us;
    for (const auto& bucket : load::histogram(result.total.latencies))
    {
        CHECK(bucket.upper > previous_upper);
        counted += bucket.count;
        previous_upper = bucket.upper;
    }
    CHECK_EQUAL(200U, counted);
    CHECK(previous_upper >= 200ms && previous_upper < 240ms);
    CHECK(load::to_text(result).find("growers POST /confirmations") != std::string::npos);
    CHECK(load::to_json(result).find("\"histogram\"") != std::string::npos);
    CHECK(load::to_svg(result).find("&lt;a&amp;b&gt;") != std::string::npos);
}
