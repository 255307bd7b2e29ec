#include <chrono> // milliseconds
#include <string> // string

#include "child_process.hpp"
#include "prove_system.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

test::string_list load_words(const std::string& seconds, const std::string& seed)
{
    return {"--non-repeatable", "POST /cuts 1", "--repeatable", "GET /quotes 1", "--answer-bytes", "0:20000",
            "--request-bytes",  "1:5000",       "--rate",       "200",           "--seconds",      seconds,
            "--deadline-ms",    "1500",         "--timeout-ms", "3000",          "--seed",         seed};
}

// A leaving upstream receives no new work after this time.
constexpr auto leave_bound = 2s;

const test::exit_status success{0, 0};

} // namespace

TEST_GROUP(prove_planned_stop)
{
    test::prove_system system;

    void start(const test::string_list& names, const std::string& service_ms)
    {
        for (const auto& name : names)
        {
            system.add(
                {.name = name, .upstream_arguments = {"--service-ms", service_ms, "--service-time", "exponential"}});
        }
        CHECK(system.wait_ready(names, names.size() - 1));
    }

    /// @return runs that started at an upstream after a time
    int starts_after(const std::string& name, std::int64_t time_us)
    {
        int count = 0;
        for (const auto& entry : system.ledger_entries(name))
        {
            count += entry.event == "start" && entry.time_us > time_us ? 1 : 0;
        }
        return count;
    }

    /// @return runs of an upstream that were cancelled before they were complete
    int cancelled(const std::string& name)
    {
        int count = 0;
        for (const auto& entry : system.ledger_entries(name))
        {
            count += entry.event == "end" && entry.reason != "completed" ? 1 : 0;
        }
        return count;
    }
};

// Guards against a stop of an entry node or of a receiving node that cuts requests in flight.
TEST(prove_planned_stop, stop_under_load_cuts_nothing)
{
    this->start({"n1", "n2", "n3"}, "60");
    const auto load = system.load("load", {"n1", "n2"}, load_words("5", "41"));
    test::pause(1s);
    const auto asked_us = test::wall_clock_us();
    system.node("n3").terminate();
    CHECK(system.node("n3").wait(10s) == success);
    test::pause(500ms);
    system.node("n2").terminate();
    CHECK(system.node("n2").wait(10s) == success);
    CHECK(load->wait() == success);
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_EQUAL_TEXT(0, verdict.value("unknown"), verdict.text.c_str());
    CHECK_TEXT(verdict.value("answered") > 500, verdict.text.c_str());
    CHECK_EQUAL(0, cancelled("n3"));
    CHECK_EQUAL(0, cancelled("n2"));
    CHECK_EQUAL(0, starts_after("n3", asked_us + std::chrono::microseconds{leave_bound}.count()));
    CHECK(starts_after("n1", asked_us + std::chrono::microseconds{leave_bound}.count()) > 100);
}

// Trial that shows that the test above can fail: a node that is killed instead of stopped cuts requests in flight.
TEST(prove_planned_stop, a_kill_is_seen_as_cut_requests)
{
    this->start({"n1", "n2", "n3"}, "60");
    const auto load = system.load("load", {"n1", "n2"}, load_words("3", "42"));
    test::pause(1s);
    system.node("n2").kill();
    CHECK(load->wait() == success);
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.value("unknown") > 0, verdict.text.c_str());
}

// Guards against a draining node whose upstream gets new work later than 2 s after the request to drain.
TEST(prove_planned_stop, draining_upstream_gets_no_new_work)
{
    this->start({"n1", "n2", "n3"}, "20");
    const auto load = system.load("load", {"n1", "n2", "n3"}, load_words("6", "43"));
    test::pause(1500ms);
    const auto asked_us = test::wall_clock_us();
    CHECK(test::run_program(system.folder(), "drain", "poplarctl", {"drain", system.address("n3", "administration")}) ==
          success);
    CHECK(system.node("n3").wait(20s) == success);
    CHECK(load->wait() == success);
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_EQUAL_TEXT(0, verdict.value("unknown"), verdict.text.c_str());
    CHECK_EQUAL(0, cancelled("n3"));
    CHECK(starts_after("n3", asked_us - 1'000'000) > 0);
    CHECK_EQUAL(0, starts_after("n3", asked_us + std::chrono::microseconds{leave_bound}.count()));
}

// Guards against requests that are cut or run when an upstream sheds all work and then stops by itself.
TEST(prove_planned_stop, stopping_upstream_under_load)
{
    this->start({"n1", "n2"}, "20");
    const auto load = system.load("load", {"n1", "n2"}, load_words("5", "44"));
    test::pause(1500ms);
    const auto asked_us = test::wall_clock_us();
    system.set_upstream_faults("n2", R"({"drain":"refuse"})");
    test::pause(2500ms);
    system.upstream("n2").terminate();
    CHECK(system.upstream("n2").wait(10s) == success);
    CHECK(load->wait() == success);
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_EQUAL_TEXT(0, verdict.value("unknown"), verdict.text.c_str());
    CHECK_EQUAL(0, starts_after("n2", asked_us + std::chrono::microseconds{leave_bound}.count()));
}

// Guards against a rolling replacement that interrupts a caller at any node of the service.
TEST(prove_planned_stop, rolling_replacement_of_every_node)
{
    const test::string_list names{"n1", "n2", "n3", "n4"};
    this->start(names, "20");
    const auto load = system.load("load", names, load_words("12", "45"));
    test::pause(1s);
    for (const auto& name : names)
    {
        system.node(name).terminate();
        CHECK(system.node(name).wait(10s) == success);
        system.restart_node(name);
        CHECK(system.wait_ready({name}, 1));
    }
    CHECK(load->wait() == success);
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_EQUAL_TEXT(0, verdict.value("unknown"), verdict.text.c_str());
    for (const auto& name : names)
    {
        CHECK_EQUAL(0, cancelled(name));
    }
}
