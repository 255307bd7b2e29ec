#include "poplarport/attempts/attempt.hpp"

#include <array>  // array
#include <vector> // vector

#include <CppUTest/TestHarness.h>

using namespace poplarport::attempts;
using poplarport::core::outcome;

namespace
{

struct event_case
{
    const char* name;
    std::vector<attempt_event> events;
    outcome expected;
    int code;
};

} // namespace

TEST_GROUP(attempt_table){};

// A wrong conclusion from an event, in particular "not run" without proof, would let a request run twice.
TEST(attempt_table, events_lead_to_the_outcome)
{
    const request_bytes_sent bytes{100};
    const std::vector<event_case> cases{
        {"response", {bytes, response_started{}, response_completed{}}, outcome::answered, 0},
        {"refused", {bytes, refused{}}, outcome::not_run, 500},
        {"refused stream", {bytes, refused_stream{}}, outcome::not_run, 501},
        {"goaway below", {bytes, goaway{7, 5}}, outcome::not_run, 502},
        {"goaway at the stream", {bytes, goaway{7, 7}, connection_lost{}}, outcome::unknown, 505},
        {"no connection", {connection_lost{}}, outcome::not_run, 503},
        {"no bytes", {request_bytes_sent{0}, connection_lost{}}, outcome::not_run, 503},
        {"timeout before a byte", {local_timeout{}}, outcome::not_run, 503},
        {"timeout", {bytes, local_timeout{}}, outcome::unknown, 506},
        {"cancelled", {bytes, cancelled{}}, outcome::unknown, 507},
        {"cancelled before a byte", {cancelled{}}, outcome::not_run, 507},
        {"hedge lost", {bytes, hedge_lost{}}, outcome::unknown, 508},
        {"interrupted", {bytes, response_started{}, connection_lost{}}, outcome::unknown, 509},
        {"refused after the header", {bytes, response_started{}, refused{}}, outcome::unknown, 509},
        {"refused stream after the header", {bytes, response_started{}, refused_stream{}}, outcome::unknown, 509},
        {"goaway after the header", {bytes, response_started{}, goaway{7, 5}}, outcome::unknown, 509},
        {"reported unknown", {bytes, unknown_reported{}}, outcome::unknown, 510},
        {"end without a header", {bytes, response_completed{}}, outcome::unknown, 511},
        {"response before the request", {response_started{}}, outcome::unknown, 511},
        {"no endpoint", {no_endpoint{}}, outcome::not_run, 504},
    };
    for (const event_case& each : cases)
    {
        attempt tested_attempt;
        for (const attempt_event& event : each.events)
        {
            tested_attempt.handle(event);
        }
        CHECK_TEXT(tested_attempt.result().has_value(), each.name);
        CHECK_TEXT(tested_attempt.result()->outcome == each.expected, each.name);
        LONGS_EQUAL_TEXT(each.code, tested_attempt.result()->code.value(), each.name);
    }
}

// An event that arrives after the attempt has ended must not change the result.
TEST(attempt_table, events_after_the_end_are_counted_only)
{
    attempt tested_attempt;
    tested_attempt.handle(request_bytes_sent{1});
    tested_attempt.handle(local_timeout{});
    CHECK_FALSE(tested_attempt.handle(refused{}).has_value());
    CHECK_FALSE(tested_attempt.handle(response_started{}).has_value());
    CHECK(tested_attempt.result()->outcome == outcome::unknown);
    LONGS_EQUAL(2, tested_attempt.late_events());
}
