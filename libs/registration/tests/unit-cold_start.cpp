#include <optional> // nullopt, optional

#include <CppUTest/TestHarness.h>

#include "poplarport/registration/cold_start.hpp"

using namespace std::chrono_literals;
using namespace poplarport;
using registration::cold_start;

namespace
{

constexpr core::time_point begin{1h};

cold_start make_cold_start()
{
    cold_start result;
    result.apply({12.0, 3s});
    return result;
}

} // namespace

TEST_GROUP(cold_start){};

TEST(cold_start, a_service_without_a_rate_has_no_limit)
{
    cold_start tested;
    tested.on_status_check(2s, begin);
    tested.on_heartbeat(2s, begin);
    CHECK_FALSE(tested.is_cold(begin));
    CHECK(tested.limit(begin) == std::nullopt);
}

// Guards against a jump of the load at the end of the cold time.
TEST(cold_start, limit_rises_by_degrees_after_the_cold_time)
{
    struct limit_case
    {
        core::duration after;
        std::optional<double> limit;
    };
    auto tested = make_cold_start();
    tested.on_status_check(2s, begin);
    for (const auto& each : {limit_case{0s, 12.0},
                             {1999ms, 12.0},
                             {2s, 24.0},
                             {2250ms, 48.0},
                             {2500ms, 96.0},
                             {2750ms, 192.0},
                             {3s, std::nullopt}})
    {
        CHECK(tested.limit(begin + each.after) == each.limit);
    }
}

// Guards against statements that are wrong, late or contradict each other: the status check is answered directly, a
// heartbeat may be seconds old.
TEST(cold_start, statements_that_disagree)
{
    struct statement_case
    {
        const char* name;
        core::duration check;
        core::duration heartbeat;
        core::duration cold_time; ///< that results
    };
    for (const auto& each : {statement_case{"heartbeat says warm", 2s, 0s, 2s},
                             {"heartbeat says longer", 1s, 2s, 2s},
                             {"check says warm", 0s, 2s, 2s},
                             {"too long", 1000h, 0s, 3s},
                             {"heartbeat too long", 0s, 1000h, 3s},
                             {"negative", -5s, -5s, 0s}})
    {
        auto tested = make_cold_start();
        tested.on_status_check(each.check, begin);
        tested.on_heartbeat(each.heartbeat, begin);
        const bool is_cold_before = each.cold_time == 0s || tested.is_cold(begin + each.cold_time - 1ms);
        CHECK_TEXT(is_cold_before && !tested.is_cold(begin + each.cold_time), each.name);
    }
}

// A status check ends the cold time that a late heartbeat has extended, and the upstream may become cold again.
TEST(cold_start, newest_status_check_holds)
{
    auto tested = make_cold_start();
    tested.on_heartbeat(3s, begin);
    tested.on_status_check(0s, begin + 100ms);
    CHECK_FALSE(tested.is_cold(begin + 100ms));
    tested.on_status_check(0s, begin + 5s);
    CHECK(tested.limit(begin + 5s) == std::nullopt);
    tested.on_status_check(1s, begin + 10s);
    CHECK(tested.is_cold(begin + 10s));
}
