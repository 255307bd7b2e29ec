#include <chrono> // milliseconds
#include <memory> // unique_ptr
#include <string> // string

#include "child_process.hpp"
#include "prove_system.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

std::unique_ptr<test::child_process> start_forwarder(const test::prove_system& system, const std::string& listen,
                                                     const std::string& target)
{
    return std::make_unique<test::child_process>(
        system.folder(), "forwarder", "poplar-forwarder",
        test::string_list{"--listen", listen, "--target", target, "--control", "127.0.0.1:0"});
}

void send_control(const test::child_process& forwarder, const std::string& target, const std::string& json)
{
    CHECK(test::http_request(forwarder.address("control"), "POST", target, json).starts_with("HTTP/1.1 200"));
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

const test::string_list base_load_arguments{
    "--non-repeatable", "POST /cuts 1", "--repeatable", "GET /quotes 1", "--answer-bytes",
    "0:8000",           "--rate",       "150",          "--seconds",     "6",
    "--deadline-ms",    "1000",         "--timeout-ms", "2500",          "--seed"};

test::string_list load_arguments(const std::string& seed)
{
    auto result = base_load_arguments;
    result.push_back(seed);
    return result;
}

// Time within which a silent connection is replaced: 500 ms without a byte, 500 ms without a response to the PING, and
// the deadline of 1 s of calls that were sent last.
constexpr auto max_detection_time = 2500ms;

} // namespace

TEST_GROUP(prove_silent_connections)
{
    test::prove_system system;

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

    test::prove_verdict silence_under_load(test::child_process & forwarder, const std::string& direction,
                                           const test::string_list& targets, const std::string& seed)
    {
        const auto load = system.load("load", targets, load_arguments(seed));
        test::pause(1500ms);
        send_control(forwarder, "/silence", R"({"direction":")" + direction + R"("})");
        this->silence_start_us = test::wall_clock_us();
        CHECK(load->wait() == (test::exit_status{0, 0}));
        return system.join({"load"});
    }

    std::int64_t silence_start_us{0};

    void check_peer_silence(const std::string& direction, const std::string& seed)
    {
        const auto session_address = loopback(test::free_ports(1).front());
        const auto forwarder = start_forwarder(system, system.address("n2", "peers"), session_address);
        static_cast<void>(forwarder->address("forwarder"));
        // The local upstream of n1 is slow, so that most calls of n1 pass the forwarder.
        system.add({.name = "n1", .upstream_arguments = {"--service-ms", "40"}});
        system.add({.name = "n2", .listen_settings = "peer_sessions = \"" + session_address + "\"\n"});
        CHECK(system.wait_ready({"n1", "n2"}, 1));
        const auto verdict = silence_under_load(*forwarder, direction, {"n1"}, seed);
        CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
        CHECK_TEXT(verdict.value("unknown") > 0, verdict.text.c_str());
        CHECK_TEXT(verdict.value("answered") > 600, verdict.text.c_str());
        const auto bound_us = std::chrono::microseconds{max_detection_time}.count();
        CHECK_TEXT(count_starts_after("n2", silence_start_us + bound_us) > 20,
                   "no new connection to n2 within the bound");
    }
};

// A session between nodes that stays silent must be replaced, or it blocks all later calls to that peer.
TEST(prove_silent_connections, between_nodes_in_both_directions)
{
    check_peer_silence("both", "31");
}

// Requests still arrive on a session whose responses are lost, so they must not be sent to another upstream.
TEST(prove_silent_connections, between_nodes_towards_the_sender)
{
    check_peer_silence("to_caller", "32");
}

// Requests that are lost in transit must not be treated as requests that were never sent.
TEST(prove_silent_connections, between_nodes_towards_the_receiver)
{
    check_peer_silence("to_target", "33");
}

// Pooled connections to an upstream that stay silent must be closed instead of reused.
TEST(prove_silent_connections, between_node_and_upstream)
{
    const auto port = test::free_ports(1).front();
    system.start_upstream({.name = "n1"});
    const auto forwarder = start_forwarder(system, loopback(port), system.address("n1", "upstream"));
    static_cast<void>(forwarder->address("forwarder"));
    system.start_node({.name = "n1", .upstream_address = loopback(port)});
    system.add({.name = "n2"});
    CHECK(system.wait_ready({"n1", "n2"}, 1));
    const auto verdict = silence_under_load(*forwarder, "both", {"n1", "n2"}, "34");
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_TEXT(verdict.value("answered") > 600, verdict.text.c_str());
    const auto bound_us = std::chrono::microseconds{max_detection_time}.count();
    CHECK_TEXT(count_starts_after("n1", silence_start_us + bound_us) > 20,
               "no new connection to the upstream within the bound");
}

// A node must not wait for callers whose connections are silent, and must not run requests that it cannot respond to.
TEST(prove_silent_connections, between_callers_and_node)
{
    system.add({.name = "n1"});
    system.add({.name = "n2"});
    CHECK(system.wait_ready({"n1", "n2"}, 1));
    const auto forwarder = start_forwarder(system, "127.0.0.1:0", system.address("n1", "callers"));
    auto arguments = load_arguments("35");
    arguments.insert(arguments.end(), {"--target", forwarder->address("forwarder")});
    const auto load = system.load("load", {"n2"}, arguments);
    test::pause(1500ms);
    send_control(*forwarder, "/silence", R"({"direction":"both"})");
    CHECK(load->wait() == (test::exit_status{0, 0}));
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_TEXT(verdict.value("answered") > 600, verdict.text.c_str());
    system.node("n1").terminate();
    CHECK(system.node("n1").wait(10s) == (test::exit_status{0, 0}));
}

// Calls on a connection between nodes that is cut must not be reported as not run or sent twice.
TEST(prove_silent_connections, cut_between_nodes)
{
    const auto session_address = loopback(test::free_ports(1).front());
    const auto forwarder = start_forwarder(system, system.address("n2", "peers"), session_address);
    static_cast<void>(forwarder->address("forwarder"));
    system.add({.name = "n1", .upstream_arguments = {"--service-ms", "40"}});
    system.add({.name = "n2",
                .upstream_arguments = {"--service-ms", "20"},
                .listen_settings = "peer_sessions = \"" + session_address + "\"\n"});
    CHECK(system.wait_ready({"n1", "n2"}, 1));
    const auto load = system.load("load", {"n1"}, load_arguments("36"));
    for (int cut_count = 0; cut_count < 8; ++cut_count)
    {
        test::pause(500ms);
        send_control(*forwarder, "/cut", "{}");
    }
    CHECK(load->wait() == (test::exit_status{0, 0}));
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_TEXT(verdict.value("unknown") > 0, verdict.text.c_str());
    CHECK_TEXT(verdict.value("answered") > 600, verdict.text.c_str());
}
