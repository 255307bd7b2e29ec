#include <algorithm> // max
#include <string>    // string
#include <vector>    // vector

#include "report.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t upstream_count = 4;
constexpr double service_ms = 10.0;
constexpr double straggler_ms = 10.0 * service_ms;

struct fault_case
{
    const char* name;
    const char* faults;             ///< JSON for the control address of the last upstream
    double min_goodput;             ///< fraction of calls that an upstream responds to
    double max_p99_ms;              ///< over the calls of all callers
    bool is_naive_expected_to_miss; ///< whether round robin without nodes has to miss one of the bounds
};

/// Runs calls at a quarter of the capacity of four upstreams, so that three of them can serve all calls.
void run_load(const prove::small_system& system, const std::string& name, const std::vector<std::string>& targets)
{
    const auto arguments =
        system.load_arguments(name, targets,
                              {"--service", "orders", "--tenant", "dealer-klang.sample-secret-dealer-klang", "--rate",
                               "400", "--seconds", "4", "--seed", "5", "--timeout-ms", "1500"});
    CHECK(test::run_program(system.scratch(), name, "poplar-load", arguments) == (test::exit_status{0, 0}));
}

void check_fault(const fault_case& test_case)
{
    prove::system_options options;
    options.orders = upstream_count;
    options.service_ms = service_ms;
    options.hedge_delay_ms = 25;
    prove::small_system system{options};
    CHECK(system.wait_ready());
    const std::size_t faulty_index = upstream_count - 1;
    system.set_upstream_faults(faulty_index, test_case.faults);
    std::vector<std::string> nodes;
    std::vector<std::string> upstreams;
    for (std::size_t index = 0; index < upstream_count; ++index)
    {
        nodes.push_back(system.callers_address(index));
        upstreams.push_back(system.upstream_address(index));
    }
    run_load(system, "nodes", nodes);
    const double faulty_runs = static_cast<double>(system.count_ledger_lines(faulty_index));
    run_load(system, "naive", upstreams);
    const prove::report all_calls{system, "nodes"};
    const auto with_nodes = all_calls.without_pauses();
    const auto naive = prove::report{system, "naive"}.without_pauses();
    const auto verdict = system.join({"nodes", "naive"});
    const auto text = std::string{test_case.name} + ": nodes " + with_nodes.text() + ", runs at the faulty upstream " +
                      std::to_string(faulty_runs) + "; naive " + naive.text() + "\n";
    UT_PRINT(text.c_str());
    CHECK_TEXT(prove::is_clean(verdict), (text + verdict.substr(0, 1000)).c_str());
    // Most calls must be judged, however busy the machine is.
    CHECK_TEXT(with_nodes.calls() >= 0.8 * all_calls.calls(), text.c_str());
    CHECK_TEXT(with_nodes.goodput() >= test_case.min_goodput, text.c_str());
    CHECK_TEXT(with_nodes.p99_ms() <= test_case.max_p99_ms, text.c_str());
    // A faulty upstream must not attract more than an equal share of the calls, with a tolerance of a tenth of all
    // calls.
    CHECK_TEXT(faulty_runs <= (1.0 / upstream_count + 0.1) * all_calls.calls(), text.c_str());
    const bool naive_misses = naive.goodput() < test_case.min_goodput || naive.p99_ms() > test_case.max_p99_ms;
    CHECK_TEXT(!test_case.is_naive_expected_to_miss || naive_misses, text.c_str());
}

} // namespace

// One faulty upstream must not degrade the calls of all callers. The bound on the p99 lies below the straggler's
// service time, so fewer than one call in a hundred may be served by it. Round robin without nodes is the naive
// comparison.
TEST_GROUP(bad_upstreams){};

TEST(bad_upstreams, straggler)
{
    check_fault({"straggler", R"({"straggle":10})", 0.99, straggler_ms - 1.0, true});
}

// A response with status 500 counts as answered, so only the number of calls that the upstream attracts is bounded.
TEST(bad_upstreams, fails_fast)
{
    check_fault({"fails fast", R"({"fail_fast":true})", 0.99, straggler_ms - 1.0, false});
}

TEST(bad_upstreams, sheds)
{
    check_fault({"sheds", R"({"shed":true})", 0.99, straggler_ms - 1.0, true});
}

TEST(bad_upstreams, reports_lag_behind)
{
    check_fault({"reports lag", R"({"report_lag_ms":2000,"straggle":10})", 0.99, straggler_ms - 1.0, true});
}

TEST(bad_upstreams, reports_mislead)
{
    check_fault({"reports mislead", R"({"report":"idle","straggle":10})", 0.99, straggler_ms - 1.0, true});
}
