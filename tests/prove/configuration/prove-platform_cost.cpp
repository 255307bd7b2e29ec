#include <chrono>   // milliseconds, seconds, steady_clock
#include <iostream> // cout
#include <string>   // string

#include "cluster_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

constexpr double control_bytes_limit = 4096; // bytes per second and node, docs/design.md section 2
constexpr int greatest_watches = 3;

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
    const auto names = test::numbered("n", node_count);
    for (const auto& name : names)
    {
        test::prove_endpoint endpoint;
        endpoint.name = name;
        system.add(endpoint);
    }
    CHECK(system.wait_ready(names, node_count, 60s));
    test::pause(8s); // the news of the start is spread by then
    const auto calls = test::platform_counter(system, "calls");
    const auto bytes = membership_bytes(system, names);
    const auto start = std::chrono::steady_clock::now();
    test::pause(20s);
    const std::chrono::duration<double> period = std::chrono::steady_clock::now() - start;
    const auto watches = test::platform_counter(system, "waiting_watches");
    const auto calls_made = static_cast<double>(test::platform_counter(system, "calls") - calls);
    const auto nodes = static_cast<double>(node_count);
    const auto bytes_rate = (membership_bytes(system, names) - bytes) / period.count() / nodes;
    std::cout << "\n"
              << node_count << " nodes of one service: " << watches << " waiting watches, "
              << calls_made / period.count() << " platform calls/s, " << bytes_rate
              << " membership bytes/s a node, both directions" << std::flush;
    CHECK(watches <= greatest_watches);
    CHECK(calls_made / period.count() / nodes < 0.1);
    CHECK(bytes_rate < control_bytes_limit);
}

} // namespace

TEST_GROUP(platform_cost){};

// Guards against watches and calls that grow with the number of nodes, and against control traffic above its limit.
TEST(platform_cost, ten_nodes_in_steady_state)
{
    measure_steady_state(10);
}

// Guards against the same with three times the nodes.
TEST(platform_cost, thirty_nodes_in_steady_state)
{
    measure_steady_state(30);
}
