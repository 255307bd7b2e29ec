#include <chrono> // duration, steady_clock
#include <string> // string
#include <vector> // vector

#include "report.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

using clock_type = std::chrono::steady_clock;

struct sample
{
    clock_type::time_point before; ///< the request for the metrics was sent after this
    clock_type::time_point after;  ///< and answered before this
    double bytes;
};

struct measured
{
    std::vector<std::vector<sample>> samples; ///< of each node
    double refused{0.0};
    std::string verdict;
};

/// Runs load steps and churn of a node's upstream, and reads the spent bytes of every node meanwhile.
measured measure(std::uint32_t bytes_per_second)
{
    prove::system_options options;
    options.measuring_bytes = bytes_per_second;
    prove::small_system system{options};
    CHECK(system.is_ready());
    const auto words =
        system.load_arguments("load", {system.callers(0), system.callers(1), system.callers(2)},
                              {"--service", "orders", "--tenant", "dealer-klang.sample-secret-dealer-klang", "--steps",
                               "200:1,1500:1,200:1,2400:1,100:1"});
    test::child_process load{system.scratch(), "load", "poplar-load", words};
    measured result;
    result.samples.resize(system.size());
    const auto start = clock_type::now();
    bool is_changed = false;
    while (load.is_running())
    {
        for (std::size_t index = 0; index < system.size(); ++index)
        {
            const auto before = clock_type::now();
            const double bytes = system.metric(index, "poplarport_measuring_bytes_spent");
            if (bytes >= 0.0)
            {
                result.samples[index].push_back({before, clock_type::now(), bytes});
            }
        }
        if (!is_changed && clock_type::now() - start > 2s)
        {
            // A new configuration must not grant a second burst.
            is_changed = true;
            system.apply_manifest(1);
            system.fault_upstream(0, R"({"straggle":10})");
        }
        test::pause(20ms);
    }
    for (std::size_t index = 0; index < system.size(); ++index)
    {
        result.refused += system.metric(index, "poplarport_measuring_refused");
    }
    CHECK(load.wait() == (test::exit_status{0, 0}));
    result.verdict = system.join({"load"});
    return result;
}

/// Returns the greatest excess over the budget and one burst (the grant of 200 ms) in any window up to one second.
double greatest_excess(const measured& values, double bytes_per_second)
{
    double excess = -1e9;
    for (const auto& node : values.samples)
    {
        for (std::size_t first = 0; first < node.size(); ++first)
        {
            for (std::size_t last = first + 1; last < node.size() && node[last].before - node[first].before <= 1s;
                 ++last)
            {
                const std::chrono::duration<double> span = node[last].after - node[first].before;
                const double allowed = bytes_per_second * (span.count() + 0.2);
                excess = std::max(excess, node[last].bytes - node[first].bytes - allowed);
            }
        }
    }
    return excess;
}

double spent(const measured& values)
{
    double sum = 0.0;
    for (const auto& node : values.samples)
    {
        sum += node.empty() ? 0.0 : node.back().bytes;
    }
    return sum;
}

} // namespace

TEST_GROUP(measuring_budget){};

// Guards against idle hints that cost more than the budget when load steps and configurations change.
TEST(measuring_budget, holds_in_every_window)
{
    constexpr double budget = 1000.0;
    const auto result = measure(1000);
    const auto text = "spent " + std::to_string(spent(result)) + ", greatest excess " +
                      std::to_string(greatest_excess(result, budget)) + ", refused " + std::to_string(result.refused);
    UT_PRINT(text.c_str());
    CHECK_TEXT(greatest_excess(result, budget) <= 0.0, text.c_str());
    CHECK_TEXT(spent(result) > 0.0, text.c_str());
    CHECK_TEXT(prove::is_clean(result.verdict), result.verdict.substr(0, 1000).c_str());
}

// Guards against a node that measures without a budget, or that cannot route without measuring.
TEST(measuring_budget, nothing_is_spent_without_a_budget)
{
    const auto result = measure(0);
    CHECK_EQUAL(0.0, spent(result));
    CHECK_TEXT(prove::is_clean(result.verdict), result.verdict.substr(0, 1000).c_str());
    CHECK(test::verdict_value(result.verdict, "answered") > 1000);
}
