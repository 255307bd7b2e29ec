#include "poplarport/attempts/attempt.hpp"

#include <array>  // array
#include <vector> // vector

#include <CppUTest/TestHarness.h>

using namespace poplarport::attempts;
using poplarport::core::outcome;

namespace
{

struct sample
{
    const char* name;
    std::vector<attempt_event> events;
    outcome expected;
    int code;
};

} // namespace

TEST_GROUP(attempt_table){};

// Guards against a wrong conclusion from any one event, above all "not run" without a proof.
TEST(attempt_table, events_lead_to_the_outcome)
{
    const request_bytes_sent bytes{100};
    const std::vector<sample> samples{
        {"answer", {bytes, response_started{}, response_completed{}}, outcome::answered, 0},
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
        {"refused after the head", {bytes, response_started{}, refused{}}, outcome::unknown, 509},
        {"refused stream after the head", {bytes, response_started{}, refused_stream{}}, outcome::unknown, 509},
        {"goaway after the head", {bytes, response_started{}, goaway{7, 5}}, outcome::unknown, 509},
        {"reported unknown", {bytes, unknown_reported{}}, outcome::unknown, 510},
        {"end without a head", {bytes, response_completed{}}, outcome::unknown, 511},
        {"answer before the request", {response_started{}}, outcome::unknown, 511},
        {"no endpoint", {no_endpoint{}}, outcome::not_run, 504},
    };
    for (const sample& each : samples)
    {
        attempt subject;
        for (const attempt_event& event : each.events)
        {
            subject.handle(event);
        }
        CHECK_TEXT(subject.result().has_value(), each.name);
        CHECK_TEXT(subject.result()->outcome == each.expected, each.name);
        LONGS_EQUAL_TEXT(each.code, subject.result()->code.value(), each.name);
    }
}

// Guards against a result that a late event changes.
TEST(attempt_table, events_after_the_end_are_counted_only)
{
    attempt subject;
    subject.handle(request_bytes_sent{1});
    subject.handle(local_timeout{});
    CHECK_FALSE(subject.handle(refused{}).has_value());
    CHECK_FALSE(subject.handle(response_started{}).has_value());
    CHECK(subject.result()->outcome == outcome::unknown);
    LONGS_EQUAL(2, subject.late_events());
}
