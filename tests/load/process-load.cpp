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

using arguments = std::vector<std::string>;

arguments upstream_arguments(const test::scratch_folder& scratch, const std::string& name)
{
    return {"--name",         name,          "--ledger",     scratch.file(name + ".ledger"),
            "--control",      "127.0.0.1:0", "--slots",      "8",
            "--queue",        "100",         "--service-ms", "3",
            "--service-time", "exponential", "--leave-ms",   "1"};
}

arguments load_arguments(const test::scratch_folder& scratch, const arguments& targets, const arguments& further = {})
{
    arguments result{"--ledger",         scratch.file("load.ledger"),
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
    result.insert(result.end(), further.begin(), further.end());
    return result;
}

struct joined
{
    std::optional<test::exit_status> status;
    std::string text;

    [[nodiscard]] int value(const std::string& key) const
    {
        return static_cast<int>(test::verdict_value(this->text, key));
    }
};

joined join(const test::scratch_folder& scratch, const arguments& upstreams)
{
    arguments words{"join", "--load", scratch.file("load.ledger"), "--explain", "--upstream"};
    for (const auto& name : upstreams)
    {
        words.push_back(scratch.file(name + ".ledger"));
    }
    const auto status = test::run_program(scratch, "join", "poplar-load", words);
    return {status, test::read_file(scratch.file("join.out"))};
}

const test::exit_status success{0, 0};

} // namespace

TEST_GROUP(process_load)
{
    test::scratch_folder scratch;
};

// Guards against a load tool or stand-in that reports faults although nothing failed, and against secrets in files.
TEST(process_load, undisturbed_run_is_clean)
{
    test::child_process first{scratch, "u1", "upstream-standin", upstream_arguments(scratch, "u1")};
    test::child_process second{scratch, "u2", "upstream-standin", upstream_arguments(scratch, "u2")};
    const auto words = load_arguments(scratch, {first.address("u1"), second.address("u2")},
                                      {"--report-json", scratch.file("r.json"), "--report-svg", scratch.file("r.svg")});
    CHECK(test::run_program(scratch, "load", "poplar-load", words) == success);
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

// Guards against calls of a killed upstream that are reported as not run, as answered or not at all.
TEST(process_load, killed_upstream_leaves_a_clean_verdict)
{
    test::child_process kept{scratch, "u1", "upstream-standin", upstream_arguments(scratch, "u1")};
    test::child_process killed{scratch, "u2", "upstream-standin", upstream_arguments(scratch, "u2")};
    // Slow requests, so that some run at the moment of the kill.
    CHECK(!test::http_request(killed.address("control"), "POST", "/faults", R"({"straggle":10})").empty());
    test::child_process load{scratch, "load", "poplar-load",
                             load_arguments(scratch, {kept.address("u1"), killed.address("u2")})};
    test::pause(1s);
    killed.kill();
    CHECK(load.wait() == success);
    const auto result = join(scratch, {"u1", "u2"});
    CHECK_TEXT(result.status == success, result.text.c_str());
    CHECK(result.value("unknown") > 0);
    CHECK(result.value("not_run") > 0);
    CHECK_EQUAL(result.value("sent"), result.value("answered") + result.value("not_run") + result.value("unknown"));
}

// Guards against a stopping upstream that interrupts requests.
TEST(process_load, planned_stop_interrupts_nothing)
{
    auto words = upstream_arguments(scratch, "u2");
    words.back() = "300";
    test::child_process kept{scratch, "u1", "upstream-standin", upstream_arguments(scratch, "u1")};
    test::child_process leaving{scratch, "u2", "upstream-standin", words};
    test::child_process load{scratch, "load", "poplar-load",
                             load_arguments(scratch, {kept.address("u1"), leaving.address("u2")})};
    test::pause(1s);
    leaving.terminate();
    CHECK(leaving.wait() == success);
    CHECK(load.wait() == success);
    const auto result = join(scratch, {"u1", "u2"});
    CHECK_TEXT(result.status == success, result.text.c_str());
    CHECK_EQUAL(0, result.value("unknown"));
    CHECK(result.value("not_run") > 0);
}

// Guards against faults of an upstream that the load tool takes for another outcome.
TEST(process_load, upstream_faults_have_their_outcomes)
{
    struct fault_case
    {
        const char* faults;
        const char* outcome; ///< that some calls have besides "answered"
    };
    for (const auto& tested :
         {fault_case{R"({"shed":true})", "not_run"}, fault_case{R"({"close_mid_answer":true})", "unknown"},
          fault_case{R"({"freeze":true})", "unknown"}, fault_case{R"({"fail_fast":true})", "answered"}})
    {
        const test::scratch_folder inner;
        test::child_process upstream{inner, "u1", "upstream-standin", upstream_arguments(inner, "u1")};
        const auto control = upstream.address("control");
        test::child_process load{inner, "load", "poplar-load",
                                 load_arguments(inner, {upstream.address("u1")}, {"--timeout-ms", "400"})};
        test::pause(700ms);
        CHECK(!test::http_request(control, "POST", "/faults", tested.faults).empty());
        CHECK(load.wait() == success);
        const auto result = join(inner, {"u1"});
        CHECK_TEXT(result.status == success, (tested.faults + result.text).c_str());
        CHECK_TEXT(result.value("answered") > 0, tested.faults);
        CHECK_TEXT(result.value(tested.outcome) > 0, tested.faults);
    }
}

// Guards against faults of the settings that have another exit code than documented.
TEST(process_load, faults_of_settings_have_their_exit_codes)
{
    struct settings_case
    {
        const char* name;
        const char* text;
        int code;
    };
    for (const auto& tested : {settings_case{"good", "targets = [\"127.0.0.1:1\"]", 0},
                               settings_case{"unknown key", "targets = [\"127.0.0.1:1\"]\nrate = 5", 78},
                               settings_case{"syntax", "targets = ", 78}, settings_case{"no target", "seed = 1", 78}})
    {
        std::ofstream{scratch.file("plan.toml")} << tested.text;
        const arguments words{"--check-settings", "--settings", scratch.file("plan.toml")};
        CHECK_TEXT(test::run_program(scratch, "load", "poplar-load", words) == (test::exit_status{tested.code, 0}),
                   tested.name);
    }
    CHECK(test::run_program(scratch, "load", "poplar-load", {"--rate", "x"}) == (test::exit_status{64, 0}));
}

// Guards against calls that vanish with their load tool: they have to be lost, by name, with the exit code 1.
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

// Guards against a silent connection that holds more than its own calls up.
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
