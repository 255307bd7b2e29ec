#include <chrono>   // milliseconds
#include <fstream>  // ofstream
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "child_process.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

using string_list = std::vector<std::string>;

string_list upstream_arguments(const test::scratch_folder& scratch, const std::string& name)
{
    return {"--name",         name,          "--ledger",     scratch.file(name + ".ledger"),
            "--control",      "127.0.0.1:0", "--slots",      "8",
            "--queue",        "100",         "--service-ms", "3",
            "--service-time", "exponential", "--leave-ms",   "1"};
}

string_list load_arguments(const test::scratch_folder& scratch, const string_list& targets,
                           const string_list& extra_arguments = {})
{
    string_list result{"--ledger",         scratch.file("load.ledger"),
                       "--repeatable",     "GET /quotes",
                       "--non-repeatable", "POST /confirmations",
                       "--request-bytes",  "1:3000",
                       "--answer-bytes",   "0:20000",
                       "--rate",           "300",
                       "--seconds",        "2",
                       "--timeout-ms",     "1500",
                       "--tenant",         "growers.secret 2",
                       "--tenant",         "dealers.secret"};
    for (const auto& target : targets)
    {
        result.insert(result.end(), {"--target", target});
    }
    result.insert(result.end(), extra_arguments.begin(), extra_arguments.end());
    return result;
}

struct join_result
{
    std::optional<test::exit_status> status;
    std::string text;

    [[nodiscard]] int value(const std::string& key) const
    {
        return static_cast<int>(test::verdict_value(this->text, key));
    }
};

join_result join(const test::scratch_folder& scratch, const string_list& upstreams)
{
    string_list arguments{"join", "--load", scratch.file("load.ledger"), "--explain", "--upstream"};
    for (const auto& name : upstreams)
    {
        arguments.push_back(scratch.file(name + ".ledger"));
    }
    const auto status = test::run_program(scratch, "join", "poplar-load", arguments);
    return {status, test::read_file(scratch.file("join.out"))};
}

const test::exit_status success{0, 0};

} // namespace

TEST_GROUP(process_load)
{
    test::scratch_folder scratch;
};

// Without a fault the verdict has to be clean, and no output file may contain a secret.
TEST(process_load, undisturbed_run_is_clean)
{
    test::child_process first_upstream{scratch, "u1", "upstream-standin", upstream_arguments(scratch, "u1")};
    test::child_process second_upstream{scratch, "u2", "upstream-standin", upstream_arguments(scratch, "u2")};
    const auto arguments =
        load_arguments(scratch, {first_upstream.address("u1"), second_upstream.address("u2")},
                       {"--report-json", scratch.file("r.json"), "--report-svg", scratch.file("r.svg")});
    CHECK(test::run_program(scratch, "load", "poplar-load", arguments) == success);
    const auto result = join(scratch, {"u1", "u2"});
    CHECK_TEXT(result.status == success, result.text.c_str());
    CHECK(result.value("sent") > 400);
    CHECK_EQUAL(result.value("sent"), result.value("answered"));
    CHECK(test::read_file(scratch.file("r.svg")).starts_with("<svg"));
    CHECK(test::read_file(scratch.file("r.json")).find("\"growers\"") != std::string::npos);
    for (const auto* file : {"load.ledger", "load.out", "load.err", "r.json", "r.svg"})
    {
        CHECK_TEXT(test::read_file(scratch.file(file)).find("secret") == std::string::npos, file);
    }
}

// Calls that a killed upstream was running must not be reported as not run or answered, and must not go missing.
TEST(process_load, killed_upstream_leaves_a_clean_verdict)
{
    test::child_process running_upstream{scratch, "u1", "upstream-standin", upstream_arguments(scratch, "u1")};
    test::child_process killed_upstream{scratch, "u2", "upstream-standin", upstream_arguments(scratch, "u2")};
    // Slow requests, so that some are running when the upstream is killed.
    CHECK(!test::http_request(killed_upstream.address("control"), "POST", "/faults", R"({"straggle":10})").empty());
    test::child_process load{scratch, "load", "poplar-load",
                             load_arguments(scratch, {running_upstream.address("u1"), killed_upstream.address("u2")})};
    test::pause(1s);
    killed_upstream.kill();
    CHECK(load.wait() == success);
    const auto result = join(scratch, {"u1", "u2"});
    CHECK_TEXT(result.status == success, result.text.c_str());
    CHECK(result.value("unknown") > 0);
    CHECK(result.value("not_run") > 0);
    CHECK_EQUAL(result.value("sent"), result.value("answered") + result.value("not_run") + result.value("unknown"));
}

// An upstream that stops as planned must not interrupt requests.
TEST(process_load, planned_stop_interrupts_nothing)
{
    auto arguments = upstream_arguments(scratch, "u2");
    arguments.back() = "300";
    test::child_process running_upstream{scratch, "u1", "upstream-standin", upstream_arguments(scratch, "u1")};
    test::child_process stopping_upstream{scratch, "u2", "upstream-standin", arguments};
    test::child_process load{
        scratch, "load", "poplar-load",
        load_arguments(scratch, {running_upstream.address("u1"), stopping_upstream.address("u2")})};
    test::pause(1s);
    stopping_upstream.terminate();
    CHECK(stopping_upstream.wait() == success);
    CHECK(load.wait() == success);
    const auto result = join(scratch, {"u1", "u2"});
    CHECK_TEXT(result.status == success, result.text.c_str());
    CHECK_EQUAL(0, result.value("unknown"));
    CHECK(result.value("not_run") > 0);
}

// The load tool has to map each fault of an upstream to its outcome.
TEST(process_load, upstream_faults_have_their_outcomes)
{
    struct fault_case
    {
        const char* faults;
        const char* outcome; ///< outcome of some of the calls besides "answered"
    };
    for (const auto& test_case :
         {fault_case{R"({"shed":true})", "not_run"}, fault_case{R"({"close_mid_answer":true})", "unknown"},
          fault_case{R"({"freeze":true})", "unknown"}, fault_case{R"({"fail_fast":true})", "answered"}})
    {
        const test::scratch_folder case_scratch;
        test::child_process upstream{case_scratch, "u1", "upstream-standin", upstream_arguments(case_scratch, "u1")};
        const auto control = upstream.address("control");
        test::child_process load{case_scratch, "load", "poplar-load",
                                 load_arguments(case_scratch, {upstream.address("u1")}, {"--timeout-ms", "400"})};
        test::pause(700ms);
        CHECK(!test::http_request(control, "POST", "/faults", test_case.faults).empty());
        CHECK(load.wait() == success);
        const auto result = join(case_scratch, {"u1"});
        CHECK_TEXT(result.status == success, (test_case.faults + result.text).c_str());
        CHECK_TEXT(result.value("answered") > 0, test_case.faults);
        CHECK_TEXT(result.value(test_case.outcome) > 0, test_case.faults);
    }
}

// Errors in settings and arguments have to end the load tool with the documented exit codes.
TEST(process_load, faults_of_settings_have_their_exit_codes)
{
    struct settings_case
    {
        const char* name;
        const char* text;
        int code;
    };
    for (const auto& test_case :
         {settings_case{"good", "targets = [\"127.0.0.1:1\"]", 0},
          settings_case{"unknown key", "targets = [\"127.0.0.1:1\"]\nrate = 5", 78},
          settings_case{"syntax", "targets = ", 78}, settings_case{"no target", "seed = 1", 78}})
    {
        std::ofstream{scratch.file("plan.toml")} << test_case.text;
        const string_list arguments{"--check-settings", "--settings", scratch.file("plan.toml")};
        CHECK_TEXT(test::run_program(scratch, "load", "poplar-load", arguments) ==
                       (test::exit_status{test_case.code, 0}),
                   test_case.name);
    }
    CHECK(test::run_program(scratch, "load", "poplar-load", {"--rate", "x"}) == (test::exit_status{64, 0}));
}

// Calls of a load tool that is killed must not vanish: join has to list each of them as lost and end with exit code 1.
TEST(process_load, killed_load_tool_leaves_lost_calls)
{
    test::child_process upstream{scratch, "u1", "upstream-standin", upstream_arguments(scratch, "u1")};
    CHECK(!test::http_request(upstream.address("control"), "POST", "/faults", R"({"freeze":true})").empty());
    test::child_process load{scratch, "load", "poplar-load", load_arguments(scratch, {upstream.address("u1")})};
    CHECK(test::wait_until([&] { return !test::read_file(scratch.file("load.ledger")).empty(); }));
    test::pause(300ms);
    load.kill();
    CHECK(load.wait().has_value());
    const auto result = join(scratch, {"u1"});
    CHECK(result.status == (test::exit_status{1, 0}));
    CHECK(result.value("lost") > 0);
    CHECK(result.text.find("\nlost ") != std::string::npos);
    CHECK(result.text.find("\"event\":\"sent\"") != std::string::npos);
}

// A silent connection must delay only the calls that were sent on it.
TEST(process_load, silent_connections_are_replaced)
{
    test::child_process upstream{scratch, "u1", "upstream-standin", upstream_arguments(scratch, "u1")};
    test::child_process forwarder{
        scratch, "f", "poplar-forwarder", {"--target", upstream.address("u1"), "--control", "127.0.0.1:0"}};
    test::child_process load{scratch, "load", "poplar-load",
                             load_arguments(scratch, {forwarder.address("forwarder")}, {"--timeout-ms", "500"})};
    test::pause(700ms);
    CHECK(!test::http_request(forwarder.address("control"), "POST", "/silence", R"({"direction":"both"})").empty());
    CHECK(load.wait() == success);
    const auto result = join(scratch, {"u1"});
    CHECK_TEXT(result.status == success, result.text.c_str());
    CHECK(result.value("answered") > 300);
}
