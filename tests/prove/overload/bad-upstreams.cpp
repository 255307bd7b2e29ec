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
    const char* faults;     ///< of the last upstream
    double least_goodput;   ///< share of calls that an upstream answers
    double greatest_p99_ms; ///< of the calls of all callers
    bool is_naive_worse;    ///< the naive choice has to miss one of the two bounds
};

/// Calls at a quarter of the capacity of four upstreams, so that three of them can carry all calls.
void run_load(const prove::small_system& system, const std::string& name, const std::vector<std::string>& targets)
{
    const auto words =
        system.load_arguments(name, targets,
                              {"--service", "orders", "--tenant", "dealer-klang.sample-secret-dealer-klang", "--rate",
                               "400", "--seconds", "4", "--seed", "5", "--timeout-ms", "1500"});
    CHECK(test::run_program(system.scratch(), name, "poplar-load", words) == (test::exit_status{0, 0}));
}

void check(const fault_case& tested)
{
    prove::system_options options;
    options.orders = upstream_count;
    options.service_ms = service_ms;
    options.hedge_delay_ms = 25;
    prove::small_system system{options};
    CHECK(system.is_ready());
    const std::size_t bad = upstream_count - 1;
    system.fault_upstream(bad, tested.faults);
    std::vector<std::string> nodes;
    std::vector<std::string> upstreams;
    for (std::size_t index = 0; index < upstream_count; ++index)
    {
        nodes.push_back(system.callers(index));
        upstreams.push_back(system.upstream_address(index));
    }
    run_load(system, "nodes", nodes);
    const double bad_runs = static_cast<double>(system.runs(bad));
    run_load(system, "naive", upstreams);
    const prove::report with_nodes{system, "nodes"};
    const prove::report naive{system, "naive"};
    const auto verdict = system.join({"nodes", "naive"});
    const auto text = std::string{tested.name} + ": nodes " + with_nodes.text() + ", runs at the bad upstream " +
                      std::to_string(bad_runs) + "; naive " + naive.text() + "\n";
    UT_PRINT(text.c_str());
    CHECK_TEXT(prove::is_clean(verdict), (text + verdict.substr(0, 1000)).c_str());
    CHECK_TEXT(with_nodes.goodput() >= tested.least_goodput, text.c_str());
    CHECK_TEXT(with_nodes.p99_ms() <= tested.greatest_p99_ms, text.c_str());
    // A bad upstream may not attract calls: at most its equal share, with a tenth of the calls for chance.
    CHECK_TEXT(bad_runs <= (1.0 / upstream_count + 0.1) * with_nodes.calls(), text.c_str());
    const bool naive_misses = naive.goodput() < tested.least_goodput || naive.p99_ms() > tested.greatest_p99_ms;
    CHECK_TEXT(!tested.is_naive_worse || naive_misses, text.c_str());
}

} // namespace

// Guards against one bad upstream that spoils the calls of all callers. The bound on the p99 is the straggler's service
// time: fewer than one call in a hundred may be served at its pace. Round robin without nodes, in the same run, is the
// naive choice.
TEST_GROUP(bad_upstreams){};

TEST(bad_upstreams, straggler)
{
    check({"straggler", R"({"straggle":10})", 0.99, straggler_ms - 1.0, true});
}

// An answer of 500 is an answer to the caller, so only the number of calls that the upstream attracts is bounded.
TEST(bad_upstreams, fails_fast)
{
    check({"fails fast", R"({"fail_fast":true})", 0.99, straggler_ms - 1.0, false});
}

TEST(bad_upstreams, sheds)
{
    check({"sheds", R"({"shed":true})", 0.99, straggler_ms - 1.0, true});
}

TEST(bad_upstreams, reports_lag_behind)
{
    check({"reports lag", R"({"report_lag_ms":2000,"straggle":10})", 0.99, straggler_ms - 1.0, true});
}

TEST(bad_upstreams, reports_mislead)
{
    check({"reports mislead", R"({"report":"idle","straggle":10})", 0.99, straggler_ms - 1.0, true});
}
