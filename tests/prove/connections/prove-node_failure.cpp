#include <chrono> // milliseconds
#include <string> // string

#include "child_process.hpp"
#include "prove_system.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

TEST_GROUP(prove_node_failure)
{
    test::prove_system system;
};

// Guards against a fixture that reports faults although nothing failed.
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
