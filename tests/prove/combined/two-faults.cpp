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

constexpr std::uint64_t seeds_per_shard = 10;
constexpr std::size_t node_count = 3;

/// A fault of one node or its upstream, or of the platform. Faults that end by themselves have an empty repair.
struct fault
{
    const char* name;
    std::function<void(prove::small_system&, std::size_t)> begin;
    std::function<void(prove::small_system&, std::size_t)> repair;
};

const std::vector<fault>& faults()
{
    using system = prove::small_system;
    static const auto no_repair = [](system&, std::size_t) {
    };
    static const std::vector<fault> table{
        {"node_kill", [](system& target, std::size_t index) { target.node(index).kill(); },
         [](system& target, std::size_t index)
         {
             target.start_node(index);
         }},
        {"node_freeze", [](system& target, std::size_t index) { target.node(index).stop(); },
         [](system& target, std::size_t index)
         {
             target.node(index).resume();
         }},
        {"upstream_kill", [](system& target, std::size_t index) { target.upstream(index).kill(); },
         [](system& target, std::size_t index)
         {
             target.start_upstream(index);
         }},
        {"upstream_freeze", [](system& target, std::size_t index) { target.upstream(index).stop(); },
         [](system& target, std::size_t index)
         {
             target.upstream(index).resume();
         }},
        {"straggler",
         [](system& target, std::size_t index) { target.set_upstream_faults(index, R"({"straggle":10})"); },
         [](system& target, std::size_t index)
         {
             target.set_upstream_faults(index, R"({"straggle":1})");
         }},
        {"upstream_drain",
         [](system& target, std::size_t index) { target.set_upstream_faults(index, R"({"drain":"refuse"})"); },
         [](system& target, std::size_t index)
         {
             target.set_upstream_faults(index, R"({"drain":"off"})");
         }},
        {"planned_stop", [](system& target, std::size_t index) { target.node(index).terminate(); },
         [](system& target, std::size_t index)
         {
             static_cast<void>(target.node(index).wait(15s));
             target.start_node(index);
         }},
        {"silent_connection", [](system& target, std::size_t index) { target.silence_forwarder(index); }, no_repair},
        {"platform_down",
         [](system& target, std::size_t) { target.start_platform_fault(R"({"kind":"down","for_ms":1500})"); },
         no_repair},
        {"platform_loses_answers",
         [](system& target, std::size_t)
         {
             target.start_platform_fault(R"({"kind":"lost_answer","count":1})");
             target.apply_manifest(2);
         },
         no_repair},
        {"configuration_change", [](system& target, std::size_t) { target.apply_manifest(1); }, no_repair}};
    return table;
}

/// Runs load during the two faults of a seed. Returns a description of the failure, or an empty text.
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
    const auto arguments = system.load_arguments(
        "load", targets,
        {"--service", "orders", "--tenant", "dealer-klang.sample-secret-dealer-klang", "--non-repeatable",
         "POST /confirmations 1", "--request-bytes", "1:3000", "--answer-bytes", "0:20000", "--rate", "200",
         "--seconds", "3", "--timeout-ms", "2000", "--seed", std::to_string(seed)});
    test::child_process load{system.scratch(), "load", "poplar-load", arguments};

    const auto first_kind = random() % faults().size();
    const auto second_kind = random() % faults().size();
    const std::array<std::size_t, 2> node_indexes{random() % node_count, random() % node_count};
    const auto delay_before_faults = std::chrono::milliseconds{300 + random() % 700};
    const auto delay_between_faults = std::chrono::milliseconds{random() % 400};
    const auto fault_duration = std::chrono::milliseconds{200 + random() % 800};
    const auto& first_fault = faults()[first_kind];
    const auto& second_fault = faults()[second_kind];
    const auto fault_names = std::string{first_fault.name} + " at " + std::to_string(node_indexes[0]) + ", " +
                             second_fault.name + " at " + std::to_string(node_indexes[1]);
    // Two equal faults at one node act as a single fault, with a single repair.
    const bool is_same_fault = first_kind == second_kind && node_indexes[0] == node_indexes[1];
    test::pause(delay_before_faults);
    first_fault.begin(system, node_indexes[0]);
    test::pause(delay_between_faults);
    if (!is_same_fault)
    {
        second_fault.begin(system, node_indexes[1]);
    }
    test::pause(fault_duration);
    first_fault.repair(system, node_indexes[0]);
    if (!is_same_fault)
    {
        second_fault.repair(system, node_indexes[1]);
    }
    if (load.wait(20s) != test::exit_status{0, 0})
    {
        return fault_names + ": poplar-load failed: " + load.errors();
    }
    const auto verdict = system.join({"load"});
    const bool has_enough_calls = test::verdict_value(verdict, "answered") > 200;
    return prove::is_clean(verdict) && has_enough_calls ? std::string{} : fault_names + ": " + verdict.substr(0, 3000);
}

void check_seed(std::uint64_t seed)
{
    std::string failure;
    try
    {
        failure = run_seed(seed);
    }
    catch (const std::exception& fault)
    {
        failure = fault.what();
    }
    const auto text = "seed " + std::to_string(seed) + ", repeat with POPLARPORT_SEED=" + std::to_string(seed) +
                      " build/tests/prove/combined/prove_two_faults -n one_seed: " + failure;
    CHECK_TEXT(failure.empty(), text.c_str());
}

void check_shard(std::uint64_t shard)
{
    for (std::uint64_t seed = shard * seeds_per_shard + 1; seed <= (shard + 1) * seeds_per_shard; ++seed)
    {
        check_seed(seed);
    }
}

} // namespace

// Calls must not be lost, doubled, crossed or wrongly reported as not run when two faults coincide.
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

// Runs the seed from POPLARPORT_SEED, or seed 1 when it is not set.
TEST(two_faults, one_seed)
{
    const char* const seed_text = std::getenv("POPLARPORT_SEED");
    check_seed(seed_text == nullptr ? 1 : std::stoull(seed_text));
}
