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

/// @brief Waits until each of the nodes lists a number of live members.
bool all_list(test::prove_system& system, const test::string_list& names, std::size_t count, std::chrono::seconds limit)
{
    const auto holds = [&]
    {
        return std::ranges::all_of(names, [&](const auto& name) { return test::members_of(system, name) == count; });
    };
    return test::wait_until(holds, limit);
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

// Guards against killed nodes that stay listed, frozen nodes that do not come back, and sides of a group that stay
// apart after they declared each other dead.
TEST(membership, killed_frozen_and_cut_nodes)
{
    test::prove_system system;
    const auto names = test::numbered("n", 6);
    for (const auto& name : names)
    {
        system.add(endpoint(name));
    }
    CHECK(system.wait_ready(names, 6));

    system.node("n6").kill();
    const stopwatch removal;
    CHECK(all_list(system, {"n1", "n2", "n3", "n4", "n5"}, 5, 20s));
    std::cout << "\nkilled node removed everywhere after " << removal.milliseconds() << " ms" << std::flush;

    system.node("n5").stop();
    CHECK(all_list(system, {"n1", "n2", "n3", "n4"}, 4, 20s));
    system.node("n5").resume();
    const stopwatch return_time;
    CHECK(all_list(system, {"n1", "n2", "n3", "n4", "n5"}, 5, 40s));
    std::cout << "\nfrozen node listed again everywhere after " << return_time.milliseconds() << " ms" << std::flush;

    // Each side is stopped until the other has removed it, so that both hold lists without the other when they meet.
    const test::string_list first_side{"n1", "n2", "n5"};
    const test::string_list second_side{"n3", "n4"};
    stop_all(system, second_side);
    CHECK(all_list(system, first_side, first_side.size(), 20s));
    stop_all(system, first_side);
    resume_all(system, second_side);
    CHECK(all_list(system, second_side, second_side.size(), 20s));
    resume_all(system, first_side);
    const stopwatch healing;
    CHECK(all_list(system, {"n1", "n2", "n3", "n4", "n5"}, 5, 40s));
    std::cout << "\nsides agree after " << healing.milliseconds() << " ms" << std::flush;
}

// Guards against two processes of one id that both serve: the earlier one has to stop.
TEST(membership, earlier_incarnation_is_superseded)
{
    test::prove_system system;
    system.add(endpoint("n1"));
    system.add(endpoint("n2"));
    CHECK(system.wait_ready({"n1", "n2"}, 2));
    // A second process with the id of n2 on other addresses; its output needs a name of its own.
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
        const auto status = test::status_of(system, "n1");
        return status["members"].size() == 2 &&
               status["members"][1]["peer_address"] == system.address("second", "peers");
    };
    CHECK(test::wait_until(is_replaced, 20s));
    CHECK(test::http_request(system.address("second", "administration"), "GET", "/ready").starts_with("HTTP/1.1 200"));
}

// Guards against a start of many nodes at once that burdens the platform or leaves groups that do not know each other.
TEST(membership, thirty_nodes_start_at_once)
{
    constexpr std::size_t node_count = 30;
    test::prove_system system;
    const auto names = test::numbered("n", node_count);
    const auto before = test::platform_counter(system, "calls");
    const stopwatch since_start;
    for (const auto& name : names)
    {
        system.add(endpoint(name));
    }
    const auto launch = since_start.milliseconds();
    test::pause(5s);
    const auto calls = test::platform_counter(system, "calls") - before;
    const bool complete = all_list(system, names, node_count, 60s);
    std::cout << "\n30 nodes: started within " << launch << " ms, " << calls << " platform calls in the first "
              << launch + 5000 << " ms, all members known everywhere after " << since_start.milliseconds() << " ms"
              << std::flush;
    CHECK(complete);
    CHECK(system.wait_ready(names, node_count, 10s));
    // Two reads, one write and one watch a node would be 120.
    CHECK(calls < 4 * node_count);
}
