#include <chrono> // milliseconds
#include <string> // string

#include "child_process.hpp"
#include "prove_system.hpp"
#include "raw_http.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

const test::exit_status success{0, 0};

// Responds with the right key and size, but with a body that belongs to no request.
void respond_with_wrong_bodies(test::raw_socket& connection)
{
    for (auto header = connection.receive_until("\r\n\r\n", 10s); !header.empty();
         header = connection.receive_until("\r\n\r\n", 10s))
    {
        std::string key;
        const auto position = header.find("X-Request-Key: ");
        if (position != std::string::npos)
        {
            key = header.substr(position + 15, header.find("\r\n", position) - position - 15);
        }
        if (!connection.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Request-Key: " + key + "\r\n\r\nodd!"))
        {
            return;
        }
    }
}

} // namespace

TEST_GROUP(prove_late_answers)
{
    test::prove_system system{{{.name = "orders", .hedge_delay_ms = 25}}};
};

// Bytes of a late response must not reach a later call on the same connection. Callers that time out, cancelled hedge
// attempts and responses that arrive out of order produce late responses.
TEST(prove_late_answers, answers_are_not_crossed)
{
    for (const auto* name : {"n1", "n2", "n3"})
    {
        system.add(
            {.name = name,
             .upstream_arguments = {"--service-ms", "25", "--service-time", "lognormal", "--service-sigma", "1.2"}});
    }
    CHECK(system.wait_ready({"n1", "n2", "n3"}, 2));
    const auto load = system.load("load", {"n1", "n2"},
                                  {"--repeatable", "GET /quotes 2", "--non-repeatable", "POST /cuts 1",
                                   "--answer-bytes", "0:60000", "--request-bytes", "0:20000", "--rate", "300",
                                   "--seconds", "6", "--seed", "21", "--timeout-ms", "60", "--connections", "16"});
    CHECK(load->wait() == success);
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.is_clean(), verdict.text.c_str());
    CHECK_TEXT(verdict.value("answered") > 500, verdict.text.c_str());
    CHECK_TEXT(verdict.value("unknown") > 20, verdict.text.c_str());
    int cancelled = 0;
    for (const auto* name : {"n1", "n2", "n3"})
    {
        for (const auto& entry : system.ledger_entries(name))
        {
            cancelled += entry.reason == "cancelled" ? 1 : 0;
        }
    }
    CHECK(cancelled > 20);
}

// Positive control: the verdict counts the wrong bodies of an upstream as crossed.
TEST(prove_late_answers, a_wrong_body_is_seen_as_crossed)
{
    const test::raw_upstream upstream{respond_with_wrong_bodies};
    system.add({.name = "n1", .upstream_address = upstream.address()});
    CHECK(system.wait_ready({"n1"}, 0));
    const auto load = system.load(
        "load", {"n1"},
        {"--repeatable", "GET /quotes", "--answer-bytes", "4", "--rate", "50", "--seconds", "1", "--seed", "22"});
    CHECK(load->wait() == success);
    const auto verdict = system.join({"load"});
    CHECK_TEXT(verdict.value("crossed") > 10, verdict.text.c_str());
}

// When a caller disconnects, its call has to be cancelled at the upstream, through either node on the path.
TEST(prove_late_answers, cancelled_call_is_cancelled_at_the_upstream)
{
    // The local upstream of n1 refuses connections, so that n1 sends its calls to n2.
    system.add({.name = "n2", .upstream_arguments = {"--service-ms", "20000"}});
    system.add({.name = "n1", .upstream_address = "127.0.0.1:9"});
    CHECK(system.wait_ready({"n1", "n2"}, 1));
    for (const auto* name : {"n1", "n2"})
    {
        const std::string key = std::string{"cancelled-by-"} + name;
        {
            const test::raw_socket caller{system.address(name, "callers")};
            caller.send("POST /cuts HTTP/1.1\r\nHost: orders\r\nX-Request-Key: " + key +
                        "\r\nAuthorization: " + test::prove_system::authorization +
                        "\r\nPoplar-Deadline-Ms: 30000\r\nContent-Length: 0\r\n\r\n");
            const auto has_started = [&]
            {
                for (const auto& entry : system.ledger_entries("n2"))
                {
                    if (entry.key == key && entry.event == "start")
                    {
                        return true;
                    }
                }
                return false;
            };
            CHECK_TEXT(test::wait_until(has_started, 3s), key.c_str());
        }
        const auto is_cancelled = [&]
        {
            for (const auto& entry : system.ledger_entries("n2"))
            {
                if (entry.key == key && entry.reason == "cancelled")
                {
                    return true;
                }
            }
            return false;
        };
        CHECK_TEXT(test::wait_until(is_cancelled, 1s), key.c_str());
    }
}
