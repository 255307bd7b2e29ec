#include <chrono>   // milliseconds, seconds, steady_clock
#include <iostream> // cout
#include <string>   // string

#include "cluster_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

// The project limits the control traffic of a node to 4096 bytes per second.
constexpr double max_control_bytes_per_second = 4096;
constexpr int max_watches = 3;

double membership_bytes(test::prove_system& system, const test::string_list& names)
{
    double sum = 0;
    for (const auto& name : names)
    {
        sum += system.metric(name, "poplarport_membership_bytes_out").value_or(0);
        sum += system.metric(name, "poplarport_membership_bytes_in").value_or(0);
    }
    return sum;
}

void measure_steady_state(std::size_t node_count)
{
    test::prove_system system;
    const auto names = test::numbered_names("n", node_count);
    for (const auto& name : names)
    {
        test::prove_endpoint endpoint;
        endpoint.name = name;
        system.add(endpoint);
    }
    CHECK(system.wait_ready(names, node_count, 60s));
    test::pause(8s); // until the gossip updates of the start have spread
    const auto calls = test::platform_counter(system, "calls");
    const auto bytes = membership_bytes(system, names);
    const auto start = std::chrono::steady_clock::now();
    test::pause(20s);
    const std::chrono::duration<double> period = std::chrono::steady_clock::now() - start;
    const auto watches = test::platform_counter(system, "waiting_watches");
    const auto calls_in_period = static_cast<double>(test::platform_counter(system, "calls") - calls);
    const auto nodes = static_cast<double>(node_count);
    const auto bytes_per_second = (membership_bytes(system, names) - bytes) / period.count() / nodes;
    std::cout << "\n"
              << node_count << " nodes of one service: " << watches << " waiting watches, "
              << calls_in_period / period.count() << " platform calls/s, " << bytes_per_second
              << " membership bytes/s a node, both directions" << std::flush;
    CHECK(watches <= max_watches);
    CHECK(calls_in_period / period.count() / nodes < 0.1);
    CHECK(bytes_per_second < max_control_bytes_per_second);
}

} // namespace

TEST_GROUP(platform_cost){};

// The number of watches must not grow with the number of nodes, and platform calls and control traffic per node must
// stay below their limits.
TEST(platform_cost, ten_nodes_in_steady_state)
{
    measure_steady_state(10);
}

// The same limits hold for three times as many nodes.
TEST(platform_cost, thirty_nodes_in_steady_state)
{
    measure_steady_state(30);
}
