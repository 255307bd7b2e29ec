#include <chrono> // milliseconds
#include <string> // string

#include "child_process.hpp"
#include "prove_system.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

// Three calls in four may run only once; one read in four exercises the repeatable path.
const test::string_list call_kinds{"--non-repeatable", "POST /cuts 3", "--repeatable",    "GET /quotes 1",
                                   "--answer-bytes",   "0:8000",       "--request-bytes", "1:3000"};

test::string_list load_arguments(const test::string_list& extra_arguments)
{
    auto result = call_kinds;
    result.insert(result.end(), extra_arguments.begin(), extra_arguments.end());
    return result;
}

/// @brief Kind of node failure.
enum class failure
{
    kill,
    freeze
};

} // namespace

TEST_GROUP(prove_node_failure)
{
    test::prove_system system;

    void start(const test::string_list& names)
    {
        for (const auto& name : names)
        {
            // The local upstream of the entry node is slow and nearly always full, so that most calls go to its peers.
            // All upstreams are so slow that some calls run at any time.
            const auto* const service_ms = name == "n1" ? "200" : "60";
            system.add(
                {.name = name, .upstream_arguments = {"--service-ms", service_ms, "--service-time", "exponential"}});
        }
        CHECK(system.wait_ready(names, names.size() - 1));
    }

    // Lets one node fail under load and recover, and compares the ledgers of all upstreams with the outcomes that
    // callers received.
    test::prove_verdict fail_under_load(const std::string& failing, failure kind, const test::string_list& targets,
                                        const std::string& seed)
    {
        this->start({"n1", "n2", "n3"});
        const auto load = system.load("load", targets,
                                      load_arguments({"--rate", "200", "--seconds", "5", "--seed", seed,
                                                      "--deadline-ms", "1000", "--timeout-ms", "2500"}));
        test::pause(1s);
        if (kind == failure::kill)
        {
            system.node(failing).kill();
            CHECK(system.node(failing).wait().has_value());
            test::pause(1s);
            system.restart_node(failing);
        }
        else
        {
            system.node(failing).stop();
            test::pause(3s); // longer than the deadline, the caller's timeout and the detection of silent connections
            system.node(failing).resume();
        }
        CHECK(load->wait() == (test::exit_status{0, 0}));
        return system.join({"load"});
    }
};

// Without a failure the fixture must report none.
TEST(prove_node_failure, undisturbed_run_is_clean)
{
    for (const auto* name : {"n1", "n2", "n3"})
    {
        system.add({.name = name});
    }
    CHECK(system.wait_ready({"n1", "n2", "n3"}, 2));
    const auto load = system.load(
        "load", {"n1", "n2"}, {"--non-repeatable", "POST /cuts", "--rate", "200", "--seconds", "1.5", "--seed", "1"});
    CHECK(load->wait() == (test::exit_status{0, 0}));
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_EQUAL_TEXT(verdict.value("sent"), verdict.value("answered"), verdict.text.c_str());
}

// Calls at a receiving node that is killed must not be lost, sent to a second upstream or reported as not run.
TEST(prove_node_failure, killed_receiving_node)
{
    const auto verdict = fail_under_load("n3", failure::kill, {"n1"}, "11");
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_TEXT(verdict.value("unknown") > 0, verdict.text.c_str());
    CHECK_TEXT(verdict.value("answered") > 700, verdict.text.c_str());
}

// Calls at an entry node that is killed must not run twice, or run after they were reported as not run.
TEST(prove_node_failure, killed_entry_node)
{
    const auto verdict = fail_under_load("n1", failure::kill, {"n1", "n2"}, "12");
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_TEXT(verdict.value("unknown") > 0, verdict.text.c_str());
    CHECK_TEXT(verdict.value("answered") > 700, verdict.text.c_str());
}

// A receiving node that resumes after a freeze must not run calls that ran elsewhere or were reported as not run.
TEST(prove_node_failure, frozen_receiving_node)
{
    const auto verdict = fail_under_load("n3", failure::freeze, {"n1"}, "13");
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_TEXT(verdict.value("unknown") > 0, verdict.text.c_str());
    CHECK_TEXT(verdict.value("answered") > 700, verdict.text.c_str());
}

// An entry node that resumes after a freeze must not send calls whose callers have timed out.
TEST(prove_node_failure, frozen_entry_node)
{
    const auto verdict = fail_under_load("n1", failure::freeze, {"n1", "n2"}, "14");
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_TEXT(verdict.value("unknown") > 0, verdict.text.c_str());
    CHECK_TEXT(verdict.value("answered") > 500, verdict.text.c_str());
}

// A restarted node has the address of its previous instance and must not receive the calls of that instance again.
TEST(prove_node_failure, two_nodes_killed_and_restarted)
{
    this->start({"n1", "n2", "n3", "n4"});
    const auto load = system.load("load", {"n1", "n2"},
                                  load_arguments({"--rate", "200", "--seconds", "6", "--seed", "15", "--deadline-ms",
                                                  "1000", "--timeout-ms", "2500"}));
    for (const auto* name : {"n2", "n3", "n2", "n3"})
    {
        test::pause(800ms);
        system.node(name).kill();
        test::pause(300ms);
        system.restart_node(name);
    }
    CHECK(load->wait() == (test::exit_status{0, 0}));
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_TEXT(verdict.value("unknown") > 0, verdict.text.c_str());
    CHECK_TEXT(verdict.value("answered") > 700, verdict.text.c_str());
}

// Positive control: the verdict counts calls that run twice. The load tool declares its reads non-repeatable, while the
// manifest lets the nodes repeat them.
TEST(prove_node_failure, repeated_calls_are_seen_as_doubled)
{
    this->start({"n1", "n2", "n3"});
    const auto load = system.load("load", {"n1"},
                                  {"--non-repeatable", "GET /quotes", "--rate", "200", "--seconds", "3", "--seed", "16",
                                   "--deadline-ms", "1000", "--timeout-ms", "2500"});
    for (int kill_count = 0; kill_count < 3; ++kill_count)
    {
        test::pause(600ms);
        system.node("n3").kill();
        test::pause(100ms);
        system.restart_node("n3");
    }
    CHECK(load->wait() == (test::exit_status{0, 0}));
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.value("doubled") > 0, verdict.text.c_str());
    CHECK(!verdict.is_clean());
}
