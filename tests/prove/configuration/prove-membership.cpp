#include <algorithm> // ranges::all_of
#include <chrono>    // milliseconds, seconds, steady_clock
#include <fstream>   // ofstream
#include <iostream>  // cout
#include <string>    // string

#include "cluster_view.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

test::prove_endpoint endpoint(const std::string& name)
{
    test::prove_endpoint result;
    result.name = name;
    return result;
}

/// @brief Waits until each node lists exactly `count` live members.
bool wait_member_count(test::prove_system& system, const test::string_list& names, std::size_t count,
                       std::chrono::seconds limit)
{
    const auto all_match = [&]
    {
        return std::ranges::all_of(names, [&](const auto& name) { return test::member_count(system, name) == count; });
    };
    return test::wait_until(all_match, limit);
}

void stop_all(test::prove_system& system, const test::string_list& names)
{
    for (const auto& name : names)
    {
        system.node(name).stop();
    }
}

void resume_all(test::prove_system& system, const test::string_list& names)
{
    for (const auto& name : names)
    {
        system.node(name).resume();
    }
}

class stopwatch
{
  public:
    [[nodiscard]] long milliseconds() const
    {
        const auto passed = std::chrono::steady_clock::now() - this->start;
        return std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
    }

  private:
    std::chrono::steady_clock::time_point start{std::chrono::steady_clock::now()};
};

} // namespace

TEST_GROUP(membership){};

// Killed nodes have to be removed from every list, and frozen nodes have to return to it. The two sides of a partition
// have to merge again after each declared the other dead.
TEST(membership, killed_frozen_and_cut_nodes)
{
    test::prove_system system;
    const auto names = test::numbered_names("n", 6);
    for (const auto& name : names)
    {
        system.add(endpoint(name));
    }
    CHECK(system.wait_ready(names, 6));

    system.node("n6").kill();
    const stopwatch removal_time;
    CHECK(wait_member_count(system, {"n1", "n2", "n3", "n4", "n5"}, 5, 20s));
    std::cout << "\nkilled node removed everywhere after " << removal_time.milliseconds() << " ms" << std::flush;

    system.node("n5").stop();
    CHECK(wait_member_count(system, {"n1", "n2", "n3", "n4"}, 4, 20s));
    system.node("n5").resume();
    const stopwatch return_time;
    CHECK(wait_member_count(system, {"n1", "n2", "n3", "n4", "n5"}, 5, 40s));
    std::cout << "\nfrozen node listed again everywhere after " << return_time.milliseconds() << " ms" << std::flush;

    // Each side is stopped until the other has removed it, so that neither lists the other when both run again.
    const test::string_list first_side{"n1", "n2", "n5"};
    const test::string_list second_side{"n3", "n4"};
    stop_all(system, second_side);
    CHECK(wait_member_count(system, first_side, first_side.size(), 20s));
    stop_all(system, first_side);
    resume_all(system, second_side);
    CHECK(wait_member_count(system, second_side, second_side.size(), 20s));
    resume_all(system, first_side);
    const stopwatch merge_time;
    CHECK(wait_member_count(system, {"n1", "n2", "n3", "n4", "n5"}, 5, 40s));
    std::cout << "\npartition merged after " << merge_time.milliseconds() << " ms" << std::flush;
}

// Two processes with one node id must not both serve: the earlier incarnation has to stop.
TEST(membership, earlier_incarnation_is_superseded)
{
    test::prove_system system;
    system.add(endpoint("n1"));
    system.add(endpoint("n2"));
    CHECK(system.wait_ready({"n1", "n2"}, 2));
    // Starts a second process with the id of n2 on other addresses, with separate output files.
    auto settings = test::read_file(system.folder().file("n2.toml"));
    for (const auto* listener : {"callers", "peers", "administration"})
    {
        const auto used = system.address("n2", listener);
        settings.replace(settings.find(used), used.size(), system.address("second", listener));
    }
    std::ofstream{system.folder().file("second.toml")} << settings;
    const test::child_process second{
        system.folder(), "second", "poplar-node", {"--settings", system.folder().file("second.toml")}};
    CHECK(system.node("n2").wait(20s) == (test::exit_status{0, 0}));
    const auto is_replaced = [&]
    {
        const auto status = test::node_status(system, "n1");
        return status["members"].size() == 2 &&
               status["members"][1]["peer_address"] == system.address("second", "peers");
    };
    CHECK(test::wait_until(is_replaced, 20s));
    CHECK(test::http_request(system.address("second", "administration"), "GET", "/ready").starts_with("HTTP/1.1 200"));
}

// A concurrent start of many nodes must not overload the platform or leave separate groups.
TEST(membership, thirty_nodes_start_at_once)
{
    constexpr std::size_t node_count = 30;
    test::prove_system system;
    const auto names = test::numbered_names("n", node_count);
    const auto calls_before = test::platform_counter(system, "calls");
    const stopwatch time_since_start;
    for (const auto& name : names)
    {
        system.add(endpoint(name));
    }
    const auto launch_ms = time_since_start.milliseconds();
    test::pause(5s);
    const auto calls = test::platform_counter(system, "calls") - calls_before;
    const bool are_all_listed = wait_member_count(system, names, node_count, 60s);
    std::cout << "\n30 nodes: started within " << launch_ms << " ms, " << calls << " platform calls in the first "
              << launch_ms + 5000 << " ms, all members listed everywhere after " << time_since_start.milliseconds()
              << " ms" << std::flush;
    CHECK(are_all_listed);
    CHECK(system.wait_ready(names, node_count, 10s));
    // 120 calls are two reads, one write and one watch per node.
    CHECK(calls < 4 * node_count);
}
