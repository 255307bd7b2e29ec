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
    clock_type::time_point read_start; ///< time before the request for the metrics
    clock_type::time_point read_end;   ///< time after its response
    double bytes;
};

struct measurement
{
    std::vector<std::vector<sample>> samples; ///< by node index
    double refused{0.0};
    std::string verdict;
};

/// Runs load steps, a configuration change and a straggling upstream, and samples the bytes spent by every node.
measurement measure(std::uint32_t bytes_per_second)
{
    prove::system_options options;
    options.measuring_bytes_per_second = bytes_per_second;
    prove::small_system system{options};
    CHECK(system.wait_ready());
    const auto arguments =
        system.load_arguments("load", {system.callers_address(0), system.callers_address(1), system.callers_address(2)},
                              {"--service", "orders", "--tenant", "dealer-klang.sample-secret-dealer-klang", "--steps",
                               "200:1,1500:1,200:1,2400:1,100:1"});
    test::child_process load{system.scratch(), "load", "poplar-load", arguments};
    measurement result;
    result.samples.resize(system.size());
    const auto start = clock_type::now();
    bool is_configuration_changed = false;
    while (load.is_running())
    {
        for (std::size_t index = 0; index < system.size(); ++index)
        {
            const auto read_start = clock_type::now();
            const double bytes = system.metric(index, "poplarport_measuring_bytes_spent");
            if (bytes >= 0.0)
            {
                result.samples[index].push_back({read_start, clock_type::now(), bytes});
            }
        }
        if (!is_configuration_changed && clock_type::now() - start > 2s)
        {
            // A new configuration must not grant a second burst.
            is_configuration_changed = true;
            system.apply_manifest(1);
            system.set_upstream_faults(0, R"({"straggle":10})");
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

/// Returns the maximum excess over the budget plus one burst (the grant of 200 ms) in any window of up to one second.
double max_excess(const measurement& result, double bytes_per_second)
{
    double excess = -1e9;
    for (const auto& node : result.samples)
    {
        for (std::size_t first = 0; first < node.size(); ++first)
        {
            for (std::size_t last = first + 1;
                 last < node.size() && node[last].read_start - node[first].read_start <= 1s; ++last)
            {
                const std::chrono::duration<double> span = node[last].read_end - node[first].read_start;
                const double allowed = bytes_per_second * (span.count() + 0.2);
                excess = std::max(excess, node[last].bytes - node[first].bytes - allowed);
            }
        }
    }
    return excess;
}

double total_bytes_spent(const measurement& result)
{
    double sum = 0.0;
    for (const auto& node : result.samples)
    {
        sum += node.empty() ? 0.0 : node.back().bytes;
    }
    return sum;
}

} // namespace

TEST_GROUP(measuring_budget){};

// Idle hints must not cost more than the budget while the load steps up and down and the configuration changes.
TEST(measuring_budget, holds_in_every_window)
{
    constexpr double budget = 1000.0;
    const auto result = measure(1000);
    const auto text = "spent " + std::to_string(total_bytes_spent(result)) + ", maximum excess " +
                      std::to_string(max_excess(result, budget)) + ", refused " + std::to_string(result.refused);
    UT_PRINT(text.c_str());
    CHECK_TEXT(max_excess(result, budget) <= 0.0, text.c_str());
    CHECK_TEXT(total_bytes_spent(result) > 0.0, text.c_str());
    CHECK_TEXT(prove::is_clean(result.verdict), result.verdict.substr(0, 1000).c_str());
}

// Without a measuring budget a node must not spend any bytes, and still has to route calls.
TEST(measuring_budget, nothing_is_spent_without_a_budget)
{
    const auto result = measure(0);
    CHECK_EQUAL(0.0, total_bytes_spent(result));
    CHECK_TEXT(prove::is_clean(result.verdict), result.verdict.substr(0, 1000).c_str());
    CHECK(test::verdict_value(result.verdict, "answered") > 1000);
}
