#include "poplarport/peer/call_metadata.hpp"
#include "poplarport/peer/errors.hpp"
#include "poplarport/peer/response_metadata.hpp"
#include "poplarport/peer/session_clock.hpp"

#include <string> // string
#include <vector> // vector

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

const peer::call_metadata call{.request_id = "bole-1/77",
                               .time_left = 84'000us,
                               .sent_at = 1'234'567'890us,
                               .attempt = 2,
                               .depth = 11,
                               .tenant = "film-crews",
                               .traffic_class = "interactive",
                               .config_version = 41,
                               .target_left = 20'000us};

const peer::response_metadata response{
    .result = core::outcome::not_run,
    .code = 402,
    .load = {.slots = 11, .in_flight = 9, .queued = 3, .service_time = 1500us, .draining = true},
    .config_version = 42,
    .better_peers = {"desk-3", "desk-5"}};

struct malformed_case
{
    const char* name;
    const char* value; ///< new value of the field; nullptr removes the field
    peer::errc error;
};

// Replaces or removes one field at a time and checks the error and the field that it names.
template <typename Metadata, typename Decoder>
void check_malformed(const Metadata& metadata, Decoder decode, const std::vector<malformed_case>& cases)
{
    for (const auto& entry : cases)
    {
        http::header_fields fields;
        peer::encode(metadata, fields);
        fields.erase(entry.name);
        if (entry.value != nullptr)
        {
            fields.add(entry.name, entry.value);
        }
        const auto result = decode(fields);
        const auto* const error = std::get_if<peer::metadata_error>(&result);
        CHECK_TEXT(error != nullptr, entry.name);
        CHECK_TEXT(error->code == entry.error, entry.name);
        CHECK_TEXT(error->field == entry.name, entry.name);
    }
}

} // namespace

TEST_GROUP(peer_metadata){};

// Metadata must not change between encoding and decoding, and fields sent by the caller must not remain beside it.
TEST(peer_metadata, metadata_is_unchanged_by_encoding_and_replaces_existing_fields)
{
    http::header_fields call_fields;
    call_fields.add("Poplar-Attempt", "1");
    call_fields.add("Poplar-Tenant", "forged");
    peer::encode(call, call_fields);
    CHECK(std::get<peer::call_metadata>(peer::decode_call_metadata(call_fields)) == call);
    http::header_fields response_fields;
    peer::encode(response, response_fields);
    CHECK(std::get<peer::response_metadata>(peer::decode_response_metadata(response_fields)) == response);
    auto accepted = response;
    accepted.better_peers.clear();
    peer::encode(accepted, response_fields);
    CHECK(std::get<peer::response_metadata>(peer::decode_response_metadata(response_fields)) == accepted);
    call_fields.add("X-Kept", "value");
    peer::remove_metadata(call_fields);
    LONGS_EQUAL(1, call_fields.size());
}

// Guards against malformed metadata accepted as a value, for example as a deadline far in the future.
TEST(peer_metadata, malformed_fields_report_their_error)
{
    using peer::errc;
    const std::string too_long(129, 'x');
    const std::vector<malformed_case> call_cases{
        {"poplar-request-id", nullptr, errc::missing_field},
        {"poplar-request-id", "", errc::malformed_field},
        {"poplar-request-id", "two words", errc::malformed_field},
        {"poplar-request-id", too_long.c_str(), errc::field_out_of_range},
        {"poplar-target-left-us", "-1", errc::malformed_field},
        {"poplar-target-left-us", "86400000001", errc::field_out_of_range},
        {"poplar-time-left-us", nullptr, errc::missing_field},
        {"poplar-time-left-us", "-1", errc::malformed_field},
        {"poplar-time-left-us", "+1", errc::malformed_field},
        {"poplar-time-left-us", "1.5", errc::malformed_field},
        {"poplar-time-left-us", " 1", errc::malformed_field},
        {"poplar-time-left-us", "0x10", errc::malformed_field},
        {"poplar-time-left-us", "86400000001", errc::field_out_of_range},
        {"poplar-sent-at-us", "9223372036854775807", errc::field_out_of_range},
        {"poplar-sent-at-us", "18446744073709551616", errc::malformed_field},
        {"poplar-attempt", "0", errc::field_out_of_range},
        {"poplar-attempt", "1001", errc::field_out_of_range},
        {"poplar-depth", "101", errc::field_out_of_range},
        {"poplar-tenant", nullptr, errc::missing_field},
        {"poplar-class", "\x7f", errc::malformed_field},
        {"poplar-config-version", "", errc::malformed_field},
    };
    check_malformed(call, peer::decode_call_metadata, call_cases);
    const std::vector<malformed_case> response_cases{
        {"poplar-outcome", nullptr, errc::missing_field},
        {"poplar-outcome", "maybe", errc::malformed_field},
        {"poplar-code", "10000", errc::field_out_of_range},
        {"poplar-load", nullptr, errc::missing_field},
        {"poplar-load", "1,2,3,4,0", errc::malformed_field},
        {"poplar-load", "1,2,3,4,0,4294967296", errc::field_out_of_range},
        {"poplar-load", "1,2,3,4,0,100,6", errc::malformed_field},
        {"poplar-load", "1,2,,4,0,100", errc::malformed_field},
        {"poplar-load", "4294967296,2,3,4,0,100", errc::field_out_of_range},
        {"poplar-load", "1,2,3,3600000001,0,100", errc::field_out_of_range},
        {"poplar-load", "1,2,3,4,2,100", errc::field_out_of_range},
        {"poplar-better", "", errc::malformed_field},
        {"poplar-better", "a,", errc::malformed_field},
        {"poplar-better", "a,,b", errc::malformed_field},
        {"poplar-better", "1,2,3,4,5,6,7,8,9", errc::field_out_of_range},
    };
    check_malformed(response, peer::decode_response_metadata, response_cases);
    http::header_fields repeated;
    peer::encode(call, repeated);
    repeated.add("Poplar-Tenant", "other");
    CHECK(std::get<peer::metadata_error>(peer::decode_call_metadata(repeated)).code == errc::repeated_field);
}

struct clock_case
{
    std::chrono::microseconds sent_at;
    std::chrono::microseconds received_at;
    std::chrono::microseconds remaining;
};

// A request that was delayed by the network must not run after its deadline, and the offset of the two clocks must not
// reduce its remaining time.
TEST(peer_metadata, clock_subtracts_only_the_delay_beyond_the_fastest_message)
{
    peer::session_clock clock;
    for (const auto& [sent_at, received_at, remaining] : {
             clock_case{1'000'000us, 500us, 10'000us},         // the first message sets the offset
             clock_case{1'001'000us, 1'700us, 9'800us},        // 200 us slower
             clock_case{1'002'000us, 2'400us, 10'000us},       // 100 us faster than any before
             clock_case{1'003'000us, 3'500us, 9'900us},        // 100 us slower than the fastest message
             clock_case{1'004'000us, 2'002'400us, 0us},        // delayed for longer than the time left
             clock_case{3'002'000us, 2'002'400us, 10'000us},   // the delay of one message does not affect the next
             clock_case{13'002'000us, 12'003'500us, 9'900us},  // 10 s later: 1 ms of drift is allowed
             clock_case{13'002'000us, 12'002'900us, 10'000us}, // the difference is less than the allowed drift
             clock_case{14'002'000us, 13'003'000us, 10'000us}, // the allowed drift counts from the new minimum
             clock_case{14'002'000us, 13'003'400us, 9'600us},
         })
    {
        LONGS_EQUAL(remaining.count(), clock.remaining(10'000us, sent_at, received_at).count());
    }
}
