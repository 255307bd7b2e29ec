#include <chrono> // milliseconds
#include <string> // string

#include "child_process.hpp"
#include "prove_system.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

test::string_list load_arguments(const std::string& seconds, const std::string& seed)
{
    return {"--non-repeatable", "POST /cuts 1", "--repeatable", "GET /quotes 1", "--answer-bytes", "0:20000",
            "--request-bytes",  "1:5000",       "--rate",       "200",           "--seconds",      seconds,
            "--deadline-ms",    "1500",         "--timeout-ms", "3000",          "--seed",         seed};
}

// Time after a stop request within which an upstream may still receive new requests.
constexpr auto max_dispatch_time = 2s;

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

    /// @return number of requests that started at an upstream after a time
    int count_starts_after(const std::string& name, std::int64_t time_us)
    {
        int count = 0;
        for (const auto& entry : system.ledger_entries(name))
        {
            count += entry.event == "start" && entry.time_us > time_us ? 1 : 0;
        }
        return count;
    }

    /// @return number of requests that ended at an upstream before they were complete
    int count_cancelled(const std::string& name)
    {
        int count = 0;
        for (const auto& entry : system.ledger_entries(name))
        {
            count += entry.event == "end" && entry.reason != "completed" ? 1 : 0;
        }
        return count;
    }
};

// A planned stop of an entry node or a receiving node must not interrupt requests in flight.
TEST(prove_planned_stop, stop_under_load_cuts_nothing)
{
    this->start({"n1", "n2", "n3"}, "60");
    const auto load = system.load("load", {"n1", "n2"}, load_arguments("5", "41"));
    test::pause(1s);
    const auto stop_request_us = test::wall_clock_us();
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
    CHECK_EQUAL(0, count_cancelled("n3"));
    CHECK_EQUAL(0, count_cancelled("n2"));
    CHECK_EQUAL(0, count_starts_after("n3", stop_request_us + std::chrono::microseconds{max_dispatch_time}.count()));
    CHECK(count_starts_after("n1", stop_request_us + std::chrono::microseconds{max_dispatch_time}.count()) > 100);
}

// Positive control for the test above: killing a node interrupts requests in flight.
TEST(prove_planned_stop, a_kill_is_seen_as_cut_requests)
{
    this->start({"n1", "n2", "n3"}, "60");
    const auto load = system.load("load", {"n1", "n2"}, load_arguments("3", "42"));
    test::pause(1s);
    system.node("n2").kill();
    CHECK(load->wait() == success);
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.value("unknown") > 0, verdict.text.c_str());
}

// The upstream of a draining node must not receive new requests later than 2 s after the drain request.
TEST(prove_planned_stop, draining_upstream_gets_no_new_work)
{
    this->start({"n1", "n2", "n3"}, "20");
    const auto load = system.load("load", {"n1", "n2", "n3"}, load_arguments("6", "43"));
    test::pause(1500ms);
    const auto stop_request_us = test::wall_clock_us();
    CHECK(test::run_program(system.folder(), "drain", "poplarctl", {"drain", system.address("n3", "administration")}) ==
          success);
    CHECK(system.node("n3").wait(20s) == success);
    CHECK(load->wait() == success);
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_EQUAL_TEXT(0, verdict.value("unknown"), verdict.text.c_str());
    CHECK_EQUAL(0, count_cancelled("n3"));
    CHECK(count_starts_after("n3", stop_request_us - 1'000'000) > 0);
    CHECK_EQUAL(0, count_starts_after("n3", stop_request_us + std::chrono::microseconds{max_dispatch_time}.count()));
}

// An upstream that sheds all requests and then stops must neither interrupt requests nor receive new ones.
TEST(prove_planned_stop, stopping_upstream_under_load)
{
    this->start({"n1", "n2"}, "20");
    const auto load = system.load("load", {"n1", "n2"}, load_arguments("5", "44"));
    test::pause(1500ms);
    const auto stop_request_us = test::wall_clock_us();
    system.set_upstream_faults("n2", R"({"drain":"refuse"})");
    test::pause(2500ms);
    system.upstream("n2").terminate();
    CHECK(system.upstream("n2").wait(10s) == success);
    CHECK(load->wait() == success);
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_EQUAL_TEXT(0, verdict.value("unknown"), verdict.text.c_str());
    CHECK_EQUAL(0, count_starts_after("n2", stop_request_us + std::chrono::microseconds{max_dispatch_time}.count()));
}

// A rolling replacement of all nodes must not interrupt any call.
TEST(prove_planned_stop, rolling_replacement_of_every_node)
{
    const test::string_list names{"n1", "n2", "n3", "n4"};
    this->start(names, "20");
    const auto load = system.load("load", names, load_arguments("12", "45"));
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
        CHECK_EQUAL(0, count_cancelled(name));
    }
}
