#include "poplarport/control/client.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/standins/platform/platform_server.hpp"

#include <chrono>   // seconds, milliseconds
#include <memory>   // unique_ptr
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;
using control::reply;
using control::request;

namespace
{

const std::vector<control::header_field> create{{"if-none-match", "*"}};

std::vector<control::header_field> match(int version)
{
    return {{"if-match", "\"" + std::to_string(version) + "\""}};
}

struct step
{
    request message;
    unsigned status;
    const char* body;
};

} // namespace

TEST_GROUP(platform)
{
    net::event_loop loop;
    control::client client{loop};
    std::unique_ptr<standins::platform_server> server;

    void start(std::uint32_t reads = 2000, std::uint32_t writes = 500)
    {
        standins::platform_settings chosen;
        chosen.control = core::socket_address{"127.0.0.1", 0};
        chosen.reads_per_second = reads;
        chosen.writes_per_second = writes;
        this->server = std::make_unique<standins::platform_server>(this->loop, chosen);
    }

    void teardown() override
    {
        this->server.reset();
    }

    void run_until(const std::optional<reply>& result)
    {
        // Wakes the loop, which does not return by itself after it has run a posted function.
        net::timer tick{this->loop, [&tick]
                        {
                            tick.schedule(1ms);
                        }};
        tick.schedule(1ms);
        while (!result.has_value())
        {
            this->loop.run_once();
        }
    }

    reply call(const request& message, bool is_control = false)
    {
        std::optional<reply> result;
        const auto to = is_control ? *this->server->control_address() : this->server->address();
        this->client.send(to, message, 5s, [&result](const reply& given) { result = given; });
        this->run_until(result);
        return *result;
    }

    void check_all(const std::vector<step>& steps)
    {
        for (const step& each : steps)
        {
            const reply result = this->call(each.message);
            CHECK_TRUE_TEXT(result.received.has_value(), each.message.path.c_str());
            UNSIGNED_LONGS_EQUAL_TEXT(each.status, result.received->status, each.message.path.c_str());
            STRCMP_EQUAL_TEXT(each.body, result.received->body.c_str(), each.message.path.c_str());
        }
    }
};

// Guards against a write that takes effect without its condition, and against versions that repeat.
TEST(platform, updates_are_conditional_on_the_version)
{
    this->start();
    const std::string path = "/v1/objects/services/orders";
    const auto missing = R"({"error":"no such object"})";
    const auto required = R"({"error":"If-Match or If-None-Match is required"})";
    this->check_all({
        {{.path = path}, 404, missing},
        {{.method = "PUT", .path = path, .body = "1"}, 428, required},
        {{.method = "PUT", .path = path, .headers = match(1), .body = "1"}, 412, R"({"version":0})"},
        {{.method = "PUT", .path = path, .headers = create, .body = "{ \"b\":1, \"a\":2}"}, 200, R"({"version":1})"},
        {{.method = "PUT", .path = path, .headers = create, .body = "2"}, 412, R"({"version":1})"},
        {{.path = path}, 200, R"({"version":1,"value":{ "b":1, "a":2}})"},
        {{.method = "PUT", .path = path, .headers = match(1), .body = "3"}, 200, R"({"version":2})"},
        {{.method = "PUT", .path = path, .headers = match(1), .body = "4"}, 412, R"({"version":2})"},
        {{.path = "/v1/objects?prefix=services/"}, 200, R"({"objects":[{"key":"services/orders","version":2}]})"},
        {{.path = "/v1/objects?prefix=seeds/"}, 200, R"({"objects":[]})"},
        {{.method = "DELETE", .path = path, .headers = match(1)}, 412, R"({"version":2})"},
        {{.method = "DELETE", .path = path, .headers = match(2)}, 200, R"({"version":3})"},
        {{.method = "PUT", .path = path, .headers = create, .body = "5"}, 200, R"({"version":4})"},
    });
    UNSIGNED_LONGS_EQUAL(4, this->server->counters().conflicts);
}

// Guards against a watch that misses a change, never ends, or counts more than once.
TEST(platform, watch_returns_the_newer_object_or_nothing)
{
    this->start();
    this->check_all({
        {{.path = "/v1/objects/a?watch=true&after=0&timeout_ms=20"}, 204, ""},
        {{.method = "PUT", .path = "/v1/objects/a", .headers = create, .body = "1"}, 200, R"({"version":1})"},
        {{.path = "/v1/objects/a?watch=true&after=0"}, 200, R"({"version":1,"value":1})"},
        {{.path = "/v1/objects/b?watch=true&after=1"}, 404, R"({"error":"no such object"})"},
    });
    std::optional<reply> waiting;
    this->client.send(this->server->address(), {.path = "/v1/objects/a?watch=true&after=1"}, 5s,
                      [&waiting](const reply& given) { waiting = given; });
    this->check_all(
        {{{.method = "PUT", .path = "/v1/objects/a", .headers = match(1), .body = "2"}, 200, R"({"version":2})"}});
    this->run_until(waiting);
    STRCMP_EQUAL(R"({"version":2,"value":2})", waiting->received->body.c_str());
    UNSIGNED_LONGS_EQUAL(4, this->server->counters().watches);
}

// Guards against faults that do not occur, or that go on after their count.
TEST(platform, faults_have_their_effect_and_their_end)
{
    this->start();
    const auto set = [this](const char* text)
    {
        return this->call({.method = "POST", .path = "/faults", .body = text}, true).received->status;
    };
    UNSIGNED_LONGS_EQUAL(200, set(R"({"kind":"lost_answer","count":1})"));
    const reply lost = this->call({.method = "PUT", .path = "/v1/objects/a", .headers = create, .body = "1"});
    CHECK_FALSE(lost.received.has_value());
    CHECK_TRUE(lost.may_have_been_sent);
    UNSIGNED_LONGS_EQUAL(200, set(R"({"kind":"down","count":1})"));
    UNSIGNED_LONGS_EQUAL(200, set(R"({"kind":"slow","delay_ms":30,"count":1})"));
    const auto before = this->loop.now();
    this->check_all({{{.path = "/v1/objects/a"}, 503, R"({"error":"outage"})"},
                     {{.path = "/v1/objects/a"}, 200, R"({"version":1,"value":1})"}});
    // A lower bound of the monotonic clock, which a slow machine cannot break.
    CHECK_TRUE(this->loop.now() - before >= 30ms);
    UNSIGNED_LONGS_EQUAL(400, set(R"({"kind":"other"})"));
    UNSIGNED_LONGS_EQUAL(500, set(R"({"kind":"down","count":"x"})"));
    STRCMP_CONTAINS("\"lost_answers\":1", this->call({.path = "/counters"}, true).received->body.c_str());
}

// Guards against calls above the rates being served, and against reads that use up the rate of writes.
TEST(platform, calls_above_the_rates_are_refused)
{
    this->start(0, 500);
    this->check_all({
        {{.path = "/v1/objects?prefix=x"}, 429, R"({"error":"rate exceeded"})"},
        {{.method = "PUT", .path = "/v1/objects/a", .headers = create, .body = "1"}, 200, R"({"version":1})"},
        {{.path = "/v1/objects/a?watch=true"}, 429, R"({"error":"rate exceeded"})"},
    });
    UNSIGNED_LONGS_EQUAL(2, this->server->counters().refused);
}
