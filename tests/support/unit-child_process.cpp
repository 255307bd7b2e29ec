#include <algorithm>  // unique
#include <chrono>     // seconds
#include <csignal>    // kill, SIGKILL
#include <filesystem> // exists
#include <string>     // string

#include "child_process.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

TEST_GROUP(child_process)
{
    test::scratch_folder scratch;
};

// A missed `listening` line would make every test time out, and a wrong exit code would hide a failure of the program.
TEST(child_process, starts_a_program_and_waits_for_its_end)
{
    test::child_process upstream{
        scratch, "u", "upstream-standin", {"--name", "u1", "--control", "127.0.0.1:0", "--leave-ms", "1"}};
    const auto response = test::http_request(upstream.address("u1"), "GET", "/health");
    CHECK(response.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(response.ends_with("{\"status\":\"ok\"}"));
    CHECK(test::http_request(upstream.address("control"), "POST", "/faults", "{\"shed\":true}").find("\"shed\":true") !=
          std::string::npos);
    const auto refused = test::http_request(upstream.address("u1"), "POST", "/quotes", "x", 5s, {"X-Request-Key: k"});
    CHECK(refused.find("Poplar-Not-Run: true\r\n") != std::string::npos);
    CHECK(upstream.is_running());
    upstream.terminate();
    CHECK(upstream.wait() == (test::exit_status{0, 0}));
    CHECK(!upstream.is_running());
}

// A killed process must not be reported as one that exited by itself.
TEST(child_process, reports_the_signal_that_ended_it)
{
    test::child_process upstream{scratch, "u", "upstream-standin", {}};
    CHECK(!upstream.address("upstream").empty());
    upstream.kill();
    CHECK(upstream.wait() == (test::exit_status{-1, SIGKILL}));
    upstream.kill();
}

// SIGSTOP has to take effect before stop() returns, and SIGCONT has to undo it.
TEST(child_process, stops_and_resumes)
{
    test::child_process upstream{scratch, "u", "upstream-standin", {}};
    const auto address = upstream.address("upstream");
    upstream.stop();
    CHECK(test::http_request(address, "GET", "/health", "", 100ms).empty());
    CHECK(upstream.is_running());
    upstream.resume();
    CHECK(!test::http_request(address, "GET", "/health").empty());
}

// Children and files must not outlive their test, even if the child is stopped.
TEST(child_process, destruction_ends_the_process_and_removes_the_folder)
{
    pid_t id = 0;
    std::filesystem::path folder;
    {
        const test::scratch_folder inner;
        folder = inner.path();
        test::child_process upstream{inner, "u", "upstream-standin", {}};
        CHECK(!upstream.address("upstream").empty());
        upstream.stop();
        id = upstream.id();
        CHECK_EQUAL(0, ::kill(id, 0));
    }
    CHECK_EQUAL(-1, ::kill(id, 0));
    CHECK(!std::filesystem::exists(folder));
}

// Every wait needs a time limit, and a program that cannot be executed has to be reported by its exit code.
TEST(child_process, waits_have_limits)
{
    test::child_process upstream{scratch, "u", "upstream-standin", {}};
    CHECK(!upstream.wait(50ms).has_value());
    CHECK_THROWS(std::runtime_error, (void)upstream.address("other", 50ms));
    CHECK(test::run_program(scratch, "missing", "no-such-program", {}) == (test::exit_status{127, 0}));
    CHECK(test::run_program(scratch, "usage", "upstream-standin", {"--slots", "x"}) == (test::exit_status{64, 0}));
    CHECK(!test::read_file(scratch.file("usage.err")).empty());
}

// A repeated port would be assigned to two programs of one test.
TEST(child_process, free_ports_differ)
{
    auto ports = test::free_ports(20);
    CHECK_EQUAL(20U, ports.size());
    std::sort(ports.begin(), ports.end());
    CHECK(std::unique(ports.begin(), ports.end()) == ports.end());
}

// A key may be the suffix of another: not_run must not match false_not_run.
TEST(child_process, reads_the_verdict)
{
    const std::string line = "sent=5 answered=4 false_not_run=1 not_run=3 p99_ms=1.250\n";
    DOUBLES_EQUAL(3.0, test::verdict_value(line, "not_run"), 0.0);
    DOUBLES_EQUAL(1.25, test::verdict_value(line, "p99_ms"), 0.0);
    DOUBLES_EQUAL(-1.0, test::verdict_value(line, "lost"), 0.0);
}
