#include <algorithm> // max
#include <array>     // array
#include <chrono>    // milliseconds
#include <cstdio>    // fgets, pclose, popen
#include <string>    // string

#include "child_process.hpp"
#include "prove_system.hpp"
#include "raw_http.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t response_bytes = 100'000'000;
constexpr std::int64_t max_memory_growth_kb = 2048;

std::string make_request(const std::string& first_line, const std::string& extra_fields = {})
{
    return first_line + " HTTP/1.1\r\nHost: orders\r\nAuthorization: " + test::prove_system::authorization + "\r\n" +
           extra_fields + "\r\n";
}

/// @return target of the next request; empty when the connection ends or no byte arrives for 20 s
std::string read_target(const test::raw_socket& connection)
{
    const auto header = connection.receive_until("\r\n\r\n", 20s);
    const auto begin = header.find(' ');
    return begin == std::string::npos ? std::string{}
                                      : header.substr(begin + 1, header.find(' ', begin + 1) - begin - 1);
}

void stream_large_response(test::raw_socket& connection)
{
    const std::string block(65536, 'p');
    for (auto target = read_target(connection); !target.empty(); target = read_target(connection))
    {
        if (target != "/large")
        {
            static_cast<void>(connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"));
            continue;
        }
        static_cast<void>(
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(response_bytes) + "\r\n\r\n"));
        for (std::size_t sent = 0; sent < response_bytes; sent += block.size())
        {
            if (!connection.send(std::string_view{block}.substr(0, response_bytes - sent)))
            {
                return;
            }
        }
    }
}

/// @brief An upstream's response to a request target, and the body that the caller has to receive.
struct body_case
{
    const char* method;
    const char* target;
    const char* response;
    const char* expected; ///< body without chunk framing
};

constexpr std::array body_cases{
    body_case{"GET", "/fixed", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
    body_case{"GET", "/chunked",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n", "whole"},
    body_case{"GET", "/empty", "HTTP/1.1 204 No Content\r\n\r\n", ""},
    body_case{"GET", "/unchanged", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""},
    body_case{"HEAD", "/head", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", ""},
    body_case{"POST", "/early", "HTTP/1.1 403 Forbidden\r\nContent-Length: 5\r\n\r\nearly", "early"}};

void respond_by_target(test::raw_socket& connection)
{
    for (auto target = read_target(connection); !target.empty(); target = read_target(connection))
    {
        for (const auto& candidate : body_cases)
        {
            if (target == candidate.target && !connection.send(candidate.response))
            {
                return;
            }
        }
    }
}

/// @return standard output of curl
std::string curl(const std::string& arguments)
{
    std::string output;
    auto* const pipe = ::popen(("curl -s --max-time 20 " + arguments).c_str(), "r");
    std::array<char, 4096> buffer{};
    while (pipe != nullptr && std::fgets(buffer.data(), buffer.size(), pipe) != nullptr)
    {
        output += buffer.data();
    }
    if (pipe != nullptr)
    {
        ::pclose(pipe);
    }
    return output;
}

} // namespace

// n1 belongs to the service `stock`, which calls `orders`, so that each call to n1 for `orders` passes n1 and n2.
TEST_GROUP(prove_call_path)
{
    test::prove_system system{{{.name = "orders"}, {.name = "stock", .calls = {"orders"}}}};

    void start(const std::string& upstream_address)
    {
        system.add({.name = "n2", .upstream_address = upstream_address});
        CHECK(system.wait_ready({"n2"}, 0));
        system.add({.name = "n1", .service = "stock"});
        CHECK(system.wait_ready({"n1"}, 0));
        // n1 may not have received the endpoints of `orders` yet.
        const auto has_endpoints = [this]
        {
            test::raw_socket probe{system.address("n1", "callers")};
            probe.send(make_request("HEAD /head", "Connection: close\r\n"));
            const auto response = probe.receive_all(1s);
            return response.find("Poplar-Outcome: answered") != std::string::npos;
        };
        CHECK(test::wait_until(has_endpoints));
    }
};

// A node that buffers a large response for a slow reader runs out of memory.
TEST(prove_call_path, large_answer_to_a_slow_reader_takes_little_memory)
{
    const test::raw_upstream upstream{stream_large_response};
    this->start(upstream.address());
    const std::array nodes{system.node("n1").id(), system.node("n2").id()};
    const std::array before{test::resident_kb(nodes[0]), test::resident_kb(nodes[1])};
    std::array<std::int64_t, 2> peak{};
    test::raw_socket reader{system.address("n1", "callers"), 32768};
    CHECK(reader.send(make_request("GET /large", "Connection: close\r\nPoplar-Deadline-Ms: 50000\r\n")));
    test::pause(1s); // fills all buffers on the path
    std::size_t received = 0;
    std::string first_bytes;
    for (auto bytes = reader.receive(); !bytes.empty(); bytes = reader.receive())
    {
        received += bytes.size();
        first_bytes += first_bytes.size() < 1000 ? bytes.substr(0, 1000) : std::string{};
        if (received % 16 == 0 || received < response_bytes / 50)
        {
            test::pause(1ms);
        }
        for (std::size_t index = 0; index < nodes.size(); ++index)
        {
            peak[index] = std::max(peak[index], test::resident_kb(nodes[index]));
        }
    }
    CHECK_TEXT(received > response_bytes, first_bytes.c_str());
    const auto figures = "n1: " + std::to_string(before[0]) + " to " + std::to_string(peak[0]) +
                         " KB, n2: " + std::to_string(before[1]) + " to " + std::to_string(peak[1]) + " KB";
    UT_PRINT(figures.c_str());
    CHECK_TEXT(peak[0] - before[0] <= max_memory_growth_kb, figures.c_str());
    CHECK_TEXT(peak[1] - before[1] <= max_memory_growth_kb, figures.c_str());
}

// A framing error truncates or extends a body, or makes a node wait for a body that does not exist.
TEST(prove_call_path, bodies_of_every_framing_arrive_whole)
{
    const test::raw_upstream upstream{respond_by_target};
    this->start(upstream.address());
    for (const auto* name : {"n1", "n2"})
    {
        // One connection carries all cases, so that a wrong end of one response corrupts the next.
        test::raw_socket caller{system.address(name, "callers")};
        for (const auto& test_case : body_cases)
        {
            const std::string method = test_case.method;
            const bool is_early = method == "POST";
            caller.send(make_request(method + " " + test_case.target, is_early ? "Content-Length: 100000\r\n" : ""));
            auto response = caller.receive_until("\r\n\r\n");
            response += caller.receive_all(300ms);
            const auto text = std::string{name} + " " + test_case.target + ": " + response;
            CHECK_TEXT(response.find("Poplar-Outcome: answered") != std::string::npos, text.c_str());
            const auto body = response.substr(response.find("\r\n\r\n") + 4);
            std::string decoded = body;
            if (std::string{test_case.target} == "/chunked")
            {
                decoded.clear();
                for (std::size_t position = 0; position < body.size();)
                {
                    const auto size = std::stoul(body.substr(position), nullptr, 16);
                    const auto begin = body.find("\r\n", position) + 2;
                    decoded += body.substr(begin, size);
                    position = begin + size + 2;
                }
            }
            CHECK_EQUAL_TEXT(std::string{test_case.expected}, decoded, text.c_str());
        }
    }
}

// A common client must find each response complete, and each response has to carry its outcome.
TEST(prove_call_path, curl_gets_whole_answers_through_any_node)
{
    this->start({});
    for (const auto* name : {"n1", "n2"})
    {
        const auto text = curl("-D - -o /dev/null -w 'size=%{size_download} exit=%{exitcode}\\n' "
                               "-H 'Host: orders' -H 'X-Answer-Bytes: 2000000' -H 'X-Request-Key: curl' "
                               "-H 'Authorization: " +
                               std::string{test::prove_system::authorization} + "' http://" +
                               system.address(name, "callers") + "/quotes");
        CHECK_TEXT(text.find("size=2000000 exit=0") != std::string::npos, text.c_str());
        CHECK_TEXT(text.find("Poplar-Outcome: answered") != std::string::npos, text.c_str());
    }
}

// Request smuggling: a request that is hidden in the body of another one must not reach the upstream through either
// node of the path.
TEST(prove_call_path, smuggled_requests_never_reach_the_upstream)
{
    this->start({});
    const std::string hidden = make_request("GET /smuggled");
    const auto size = std::to_string(hidden.size());
    const std::array attacks{
        make_request("POST /a", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden,
        make_request("POST /a", "Transfer-Encoding: chunked\r\nContent-Length: " + size + "\r\n") + "0\r\n\r\n" +
            hidden,
        make_request("POST /a", "Content-Length: 0\r\nContent-Length: " + size + "\r\n") + hidden,
        make_request("POST /a", "Content-Length: " + size + "\r\nContent-Length: 0\r\n") + hidden,
        make_request("POST /a", "Content-Length : 0\r\n") + hidden,
        make_request("POST /a", "Content-Length: +0\r\n") + hidden,
        make_request("POST /a", "Content-Length: 0, " + size + "\r\n") + hidden,
        make_request("POST /a", "Transfer-Encoding: xchunked\r\n") + hidden,
        make_request("POST /a", "Transfer-Encoding: chunked, identity\r\n") + "0\r\n\r\n" + hidden,
        make_request("POST /a", "Transfer-Encoding:\x0b"
                                "chunked\r\n") +
            "0\r\n\r\n" + hidden,
        make_request("POST /a", "X-A: b\nContent-Length: 0\r\n") + hidden,
        make_request("POST /a", "X-A: b\r\n Transfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden,
        make_request("POST /a", "Content-Length: " + size + "\r\n") + hidden,
        make_request("POST /a", "Transfer-Encoding: chunked\r\n") + "ffffffffffffffff1\r\n" + hidden,
        make_request("POST /a", "Transfer-Encoding: chunked\r\n") + "0x5\r\nhello\r\n0\r\n\r\n" + hidden,
        make_request("POST /a", "Transfer-Encoding: chunked\r\n") + "1;a=\nb\r\nx\r\n0\r\nX: y\n\r\n" + hidden,
    };
    for (const auto* name : {"n1", "n2"})
    {
        for (const auto& attack : attacks)
        {
            test::raw_socket caller{system.address(name, "callers")};
            caller.send(attack);
            static_cast<void>(caller.receive_all(200ms));
        }
    }
    for (const auto& entry : system.ledger_entries("n2"))
    {
        CHECK_TEXT(entry.target.find("smuggled") == std::string::npos, entry.target.c_str());
    }
    // Positive control: the same bytes sent as a separate request do reach the upstream.
    test::raw_socket caller{system.address("n1", "callers")};
    caller.send(hidden);
    CHECK(!caller.receive().empty());
    bool is_received = false;
    for (const auto& entry : system.ledger_entries("n2"))
    {
        is_received = is_received || entry.target.find("smuggled") != std::string::npos;
    }
    CHECK(is_received);
}
