#include <algorithm> // max
#include <chrono>    // duration_cast, microseconds, system_clock
#include <cstdint>   // int64_t
#include <sstream>   // istringstream
#include <string>    // string

#include <nlohmann/json.hpp>

#include "small_system.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

std::int64_t wall_clock_us()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

TEST_GROUP(drain_queue){};

// An upstream must not receive queued requests later than 2 s after its drain began. One slot and 700 ms per request
// keep the queue filled for longer than that.
TEST(drain_queue, no_queued_request_starts_late)
{
    prove::system_options options;
    options.orders = 1;
    options.slots = 1;
    options.service_ms = 700.0;
    options.deadline_ms = 9000;
    prove::small_system system{options};
    CHECK(system.wait_ready());
    const auto arguments = system.load_arguments(
        "load", {system.callers_address(0)},
        {"--service", "orders", "--tenant", "dealer-klang.sample-secret-dealer-klang", "--non-repeatable",
         "POST /confirmations 1", "--rate", "20", "--seconds", "0.5", "--timeout-ms", "9500"});
    test::child_process load{system.scratch(), "load", "poplar-load", arguments};
    test::pause(1s);
    const auto drain_start_us = wall_clock_us();
    system.node(0).terminate();
    CHECK(load.wait() == (test::exit_status{0, 0}));
    CHECK(system.node(0).wait() == (test::exit_status{0, 0}));
    const auto verdict = system.join({"load"});
    CHECK_TEXT(prove::is_clean(verdict), verdict.c_str());
    CHECK_TEXT(test::verdict_value(verdict, "not_run") > 0, verdict.c_str());
    std::int64_t latest_start_us = 0;
    std::istringstream lines{test::read_file(system.scratch().file("orders-0.ledger"))};
    for (std::string line; std::getline(lines, line);)
    {
        const auto entry = nlohmann::json::parse(line);
        if (entry["event"] == "start")
        {
            latest_start_us = std::max(latest_start_us, entry["time_us"].get<std::int64_t>() - drain_start_us);
        }
    }
    const auto text = "latest start " + std::to_string(latest_start_us / 1000) + " ms after the drain\n" + verdict;
    UT_PRINT(text.c_str());
    CHECK_TEXT(latest_start_us <= 2'000'000, text.c_str());
}
