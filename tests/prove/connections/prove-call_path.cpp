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
constexpr std::int64_t memory_bound_kb = 2048;

std::string request(const std::string& first_line, const std::string& further = {})
{
    return first_line + " HTTP/1.1\r\nHost: orders\r\nAuthorization: " + test::prove_system::authorization + "\r\n" +
           further + "\r\n";
}

/// @return the first target of the requests on a connection, after its head and, for a fixed length, its body
std::string read_target(const test::raw_socket& connection)
{
    const auto head = connection.receive_until("\r\n\r\n", 20s);
    const auto begin = head.find(' ');
    return begin == std::string::npos ? std::string{} : head.substr(begin + 1, head.find(' ', begin + 1) - begin - 1);
}

void stream_large_answer(test::raw_socket& connection)
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

/// @brief An answer of an upstream by the target that asks for it, and what a caller has to see of it.
struct body_case
{
    const char* method;
    const char* target;
    const char* answer;
    const char* expected; ///< decoded body, or its chunks
};

constexpr std::array body_cases{
    body_case{"GET", "/fixed", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole"},
    body_case{"GET", "/chunked",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n", "whole"},
    body_case{"GET", "/empty", "HTTP/1.1 204 No Content\r\n\r\n", ""},
    body_case{"GET", "/unchanged", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""},
    body_case{"HEAD", "/head", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", ""},
    body_case{"POST", "/early", "HTTP/1.1 403 Forbidden\r\nContent-Length: 5\r\n\r\nearly", "early"}};

void answer_by_target(test::raw_socket& connection)
{
    for (auto target = read_target(connection); !target.empty(); target = read_target(connection))
    {
        for (const auto& known : body_cases)
        {
            if (target == known.target && !connection.send(known.answer))
            {
                return;
            }
        }
    }
}

/// @return output of curl with the given arguments
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

// n1 belongs to another service that calls `orders`, so that each call to it for `orders` passes n1 and n2.
TEST_GROUP(prove_call_path)
{
    test::prove_system system{{{.name = "orders"}, {.name = "stock", .calls = {"orders"}}}};

    void start(const std::string& upstream_address)
    {
        system.add({.name = "n2", .upstream_address = upstream_address});
        CHECK(system.wait_ready({"n2"}, 0));
        system.add({.name = "n1", .service = "stock"});
        CHECK(system.wait_ready({"n1"}, 0));
        // The first call may find that n1 has not learned the endpoints of the other service yet.
        const auto knows_endpoints = [this]
        {
            test::raw_socket probe{system.address("n1", "callers")};
            probe.send(request("HEAD /head", "Connection: close\r\n"));
            const auto answer = probe.receive_all(1s);
            return answer.find("Poplar-Outcome: answered") != std::string::npos;
        };
        CHECK(test::wait_until(knows_endpoints));
    }
};

// Guards against nodes that buffer an answer for a slow reader.
TEST(prove_call_path, large_answer_to_a_slow_reader_takes_little_memory)
{
    const test::raw_upstream upstream{stream_large_answer};
    this->start(upstream.address());
    const std::array nodes{system.node("n1").id(), system.node("n2").id()};
    const std::array before{test::resident_kb(nodes[0]), test::resident_kb(nodes[1])};
    std::array<std::int64_t, 2> peak{};
    test::raw_socket reader{system.address("n1", "callers"), 32768};
    CHECK(reader.send(request("GET /large", "Connection: close\r\nPoplar-Deadline-Ms: 50000\r\n")));
    test::pause(1s); // all buffers on the path fill up
    std::size_t received = 0;
    std::string beginning;
    for (auto bytes = reader.receive(); !bytes.empty(); bytes = reader.receive())
    {
        received += bytes.size();
        beginning += beginning.size() < 1000 ? bytes.substr(0, 1000) : std::string{};
        if (received % 16 == 0 || received < response_bytes / 50)
        {
            test::pause(1ms);
        }
        for (std::size_t index = 0; index < nodes.size(); ++index)
        {
            peak[index] = std::max(peak[index], test::resident_kb(nodes[index]));
        }
    }
    CHECK_TEXT(received > response_bytes, beginning.c_str());
    const auto figures = "n1: " + std::to_string(before[0]) + " to " + std::to_string(peak[0]) +
                         " KB, n2: " + std::to_string(before[1]) + " to " + std::to_string(peak[1]) + " KB";
    UT_PRINT(figures.c_str());
    CHECK_TEXT(peak[0] - before[0] <= memory_bound_kb, figures.c_str());
    CHECK_TEXT(peak[1] - before[1] <= memory_bound_kb, figures.c_str());
}

// Guards against bodies that are cut, extended or awaited where there is none.
TEST(prove_call_path, bodies_of_every_framing_arrive_whole)
{
    const test::raw_upstream upstream{answer_by_target};
    this->start(upstream.address());
    for (const auto* name : {"n1", "n2"})
    {
        // One connection carries all cases, so that a wrong end of one answer shifts the next one.
        test::raw_socket caller{system.address(name, "callers")};
        for (const auto& tested : body_cases)
        {
            const std::string method = tested.method;
            const bool is_early = method == "POST";
            caller.send(request(method + " " + tested.target, is_early ? "Content-Length: 100000\r\n" : ""));
            auto answer = caller.receive_until("\r\n\r\n");
            answer += caller.receive_all(300ms);
            const auto text = std::string{name} + " " + tested.target + ": " + answer;
            CHECK_TEXT(answer.find("Poplar-Outcome: answered") != std::string::npos, text.c_str());
            const auto body = answer.substr(answer.find("\r\n\r\n") + 4);
            std::string decoded = body;
            if (std::string{tested.target} == "/chunked")
            {
                decoded.clear();
                for (std::size_t at = 0; at < body.size();)
                {
                    const auto size = std::stoul(body.substr(at), nullptr, 16);
                    const auto begin = body.find("\r\n", at) + 2;
                    decoded += body.substr(begin, size);
                    at = begin + size + 2;
                }
            }
            CHECK_EQUAL_TEXT(std::string{tested.expected}, decoded, text.c_str());
        }
    }
}

// Guards against answers that a common client takes for incomplete, and answers without their outcome.
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

// Guards against a request hidden in another one that reaches the upstream, by either node on the path.
TEST(prove_call_path, smuggled_requests_never_reach_the_upstream)
{
    this->start({});
    const std::string hidden = request("GET /smuggled");
    const auto size = std::to_string(hidden.size());
    const std::array attacks{
        request("POST /a", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden,
        request("POST /a", "Transfer-Encoding: chunked\r\nContent-Length: " + size + "\r\n") + "0\r\n\r\n" + hidden,
        request("POST /a", "Content-Length: 0\r\nContent-Length: " + size + "\r\n") + hidden,
        request("POST /a", "Content-Length: " + size + "\r\nContent-Length: 0\r\n") + hidden,
        request("POST /a", "Content-Length : 0\r\n") + hidden,
        request("POST /a", "Content-Length: +0\r\n") + hidden,
        request("POST /a", "Content-Length: 0, " + size + "\r\n") + hidden,
        request("POST /a", "Transfer-Encoding: xchunked\r\n") + hidden,
        request("POST /a", "Transfer-Encoding: chunked, identity\r\n") + "0\r\n\r\n" + hidden,
        request("POST /a", "Transfer-Encoding:\x0b"
                           "chunked\r\n") +
            "0\r\n\r\n" + hidden,
        request("POST /a", "X-A: b\nContent-Length: 0\r\n") + hidden,
        request("POST /a", "X-A: b\r\n Transfer-Encoding: chunked\r\n") + "0\r\n\r\n" + hidden,
        request("POST /a", "Content-Length: " + size + "\r\n") + hidden,
        request("POST /a", "Transfer-Encoding: chunked\r\n") + "ffffffffffffffff1\r\n" + hidden,
        request("POST /a", "Transfer-Encoding: chunked\r\n") + "0x5\r\nhello\r\n0\r\n\r\n" + hidden,
        request("POST /a", "Transfer-Encoding: chunked\r\n") + "1;a=\nb\r\nx\r\n0\r\nX: y\n\r\n" + hidden,
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
    // Trial that shows that the check can fail: the same bytes as a request of their own do reach the upstream.
    test::raw_socket caller{system.address("n1", "callers")};
    caller.send(hidden);
    CHECK(!caller.receive().empty());
    bool seen = false;
    for (const auto& entry : system.ledger_entries("n2"))
    {
        seen = seen || entry.target.find("smuggled") != std::string::npos;
    }
    CHECK(seen);
}
