#include <algorithm>  // shuffle, find_if
#include <array>      // array
#include <cstdint>    // uint64_t
#include <cstdlib>    // getenv
#include <functional> // function
#include <random>     // mt19937_64
#include <string>     // string, stoull
#include <vector>     // vector

#include "small_system.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t seeds_of_a_shard = 10;
constexpr std::size_t node_count = 3;

/// A fault begins, stays for a while and is repaired.
struct fault
{
    const char* name;
    std::function<void(prove::small_system&, std::size_t)> begin;
    std::function<void(prove::small_system&, std::size_t)> repair;
};

const std::vector<fault>& faults()
{
    using system = prove::small_system;
    static const auto nothing = [](system&, std::size_t) {
    };
    static const std::vector<fault> table{
        {"node_kill", [](system& on, std::size_t at) { on.node(at).kill(); },
         [](system& on, std::size_t at)
         {
             on.start_node(at);
         }},
        {"node_freeze", [](system& on, std::size_t at) { on.node(at).stop(); },
         [](system& on, std::size_t at)
         {
             on.node(at).resume();
         }},
        {"upstream_kill", [](system& on, std::size_t at) { on.upstream(at).kill(); },
         [](system& on, std::size_t at)
         {
             on.start_upstream(at);
         }},
        {"upstream_freeze", [](system& on, std::size_t at) { on.upstream(at).stop(); },
         [](system& on, std::size_t at)
         {
             on.upstream(at).resume();
         }},
        {"straggler", [](system& on, std::size_t at) { on.set_upstream_faults(at, R"({"straggle":10})"); },
         [](system& on, std::size_t at)
         {
             on.set_upstream_faults(at, R"({"straggle":1})");
         }},
        {"upstream_drain", [](system& on, std::size_t at) { on.set_upstream_faults(at, R"({"drain":"refuse"})"); },
         [](system& on, std::size_t at)
         {
             on.set_upstream_faults(at, R"({"drain":"off"})");
         }},
        {"planned_stop", [](system& on, std::size_t at) { on.node(at).terminate(); },
         [](system& on, std::size_t at)
         {
             static_cast<void>(on.node(at).wait(15s));
             on.start_node(at);
         }},
        {"silent_connection", [](system& on, std::size_t at) { on.silence_forwarder(at); }, nothing},
        {"platform_down", [](system& on, std::size_t) { on.start_platform_fault(R"({"kind":"down","for_ms":1500})"); },
         nothing},
        {"platform_loses_answers",
         [](system& on, std::size_t)
         {
             on.start_platform_fault(R"({"kind":"lost_answer","count":1})");
             on.apply_manifest(2);
         },
         nothing},
        {"configuration_change", [](system& on, std::size_t) { on.apply_manifest(1); }, nothing}};
    return table;
}

/// Runs load while the two faults of a seed happen, and returns an empty text or what failed.
std::string run_seed(std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    prove::system_options options;
    options.has_forwarders = true;
    options.hedge_delay_ms = 25;
    prove::small_system system{options};
    if (!system.wait_ready())
    {
        return "the system did not become ready";
    }
    std::vector<std::string> targets;
    for (std::size_t index = 0; index < node_count; ++index)
    {
        targets.push_back(system.callers_address(index));
    }
    const auto words = system.load_arguments(
        "load", targets,
        {"--service", "orders", "--tenant", "dealer-klang.sample-secret-dealer-klang", "--non-repeatable",
         "POST /confirmations 1", "--request-bytes", "1:3000", "--answer-bytes", "0:20000", "--rate", "200",
         "--seconds", "3", "--timeout-ms", "2000", "--seed", std::to_string(seed)});
    test::child_process load{system.scratch(), "load", "poplar-load", words};

    const auto first = random() % faults().size();
    const auto second = random() % faults().size();
    const std::array<std::size_t, 2> at{random() % node_count, random() % node_count};
    const auto before = std::chrono::milliseconds{300 + random() % 700};
    const auto between = std::chrono::milliseconds{random() % 400};
    const auto duration = std::chrono::milliseconds{200 + random() % 800};
    const auto& one = faults()[first];
    const auto& two = faults()[second];
    const auto names =
        std::string{one.name} + " at " + std::to_string(at[0]) + ", " + two.name + " at " + std::to_string(at[1]);
    // A process that a fault of the same kind already ended or stopped gets only one repair.
    const bool is_same = first == second && at[0] == at[1];
    test::pause(before);
    one.begin(system, at[0]);
    test::pause(between);
    if (!is_same)
    {
        two.begin(system, at[1]);
    }
    test::pause(duration);
    one.repair(system, at[0]);
    if (!is_same)
    {
        two.repair(system, at[1]);
    }
    if (load.wait(20s) != test::exit_status{0, 0})
    {
        return names + ": the load tool failed: " + load.errors();
    }
    const auto verdict = system.join({"load"});
    const bool has_load = test::verdict_value(verdict, "answered") > 200;
    return prove::is_clean(verdict) && has_load ? std::string{} : names + ": " + verdict.substr(0, 3000);
}

void check_seed(std::uint64_t seed)
{
    std::string found;
    try
    {
        found = run_seed(seed);
    }
    catch (const std::exception& fault)
    {
        found = fault.what();
    }
    const auto text = "seed " + std::to_string(seed) + ", repeat with POPLARPORT_SEED=" + std::to_string(seed) +
                      " build/tests/prove/combined/prove_two_faults -n one_seed: " + found;
    CHECK_TEXT(found.empty(), text.c_str());
}

void check_shard(std::uint64_t shard)
{
    for (std::uint64_t seed = shard * seeds_of_a_shard + 1; seed <= (shard + 1) * seeds_of_a_shard; ++seed)
    {
        check_seed(seed);
    }
}

} // namespace

// Guards against calls that are lost, doubled, crossed or falsely "not run" when two faults coincide.
TEST_GROUP(two_faults){};

TEST(two_faults, shard_0)
{
    check_shard(0);
}

TEST(two_faults, shard_1)
{
    check_shard(1);
}

TEST(two_faults, shard_2)
{
    check_shard(2);
}

TEST(two_faults, shard_3)
{
    check_shard(3);
}

TEST(two_faults, shard_4)
{
    check_shard(4);
}

// Repeats the seed in POPLARPORT_SEED; without it, the first seed.
TEST(two_faults, one_seed)
{
    const char* const chosen = std::getenv("POPLARPORT_SEED");
    check_seed(chosen == nullptr ? 1 : std::stoull(chosen));
}
