#include <optional> // nullopt, optional
#include <string>   // to_string

#include <CppUTest/TestHarness.h>

#include "poplarport/admission/gate.hpp"
#include "poplarport/admission/response_target.hpp"

using namespace std::chrono_literals;
using namespace poplarport::admission;
using poplarport::core::duration;
using poplarport::core::time_point;

namespace
{

constexpr time_point begin{1h};

} // namespace

TEST_GROUP(response_target){};

TEST(response_target, depends_on_rank_and_on_nesting)
{
    struct target_case
    {
        const char* name;
        response_target_request request;
        std::optional<duration> expected;
    };
    for (const auto& each : {target_case{"first attempt", {300ms, 0ms, 1, false}, 300ms},
                             {"retry by the caller", {300ms, 200ms, 2, false}, 100ms},
                             {"late", {300ms, 500ms, 1, false}, -200ms},
                             {"most urgent", {300ms, 0ms, 0, false}, std::nullopt},
                             {"nested", {80ms, 0ms, 1, true}, std::nullopt}})
    {
        CHECK_TEXT(response_target(each.request) == each.expected, each.name);
    }
}

// Pattern: uploads hold all slots of a small service for 180 ms each, and lookups of 15 ms that other services need
// come with a target of 80 ms and a limit of 200 ms. Refused by their target, the payments that made them fail although
// a slot becomes free in time.
TEST(response_target, nested_lookups_wait_for_a_slot_of_uploads_until_their_limit)
{
    for (const bool is_nested : {false, true})
    {
        limits settings{5, 20, {}, {}};
        settings.deadline_bounds_start = true;
        auto tested = gate::builder{}.slots(5).queue_capacity(20).initial_service_time(180ms).build(begin);
        static_cast<void>(tested.set_limits(settings, begin));
        // Uploads of 180 ms that have ended, so that their usual time is known.
        auto now = begin;
        for (int number = 0; number < 40; ++number)
        {
            const auto id = "earlier" + std::to_string(number);
            static_cast<void>(tested.offer({id, "-", "1", now + 4s, std::nullopt}, now));
            now += 180ms;
            static_cast<void>(tested.release(id, 180ms, now));
        }
        for (int slot = 0; slot < 5; ++slot)
        {
            static_cast<void>(tested.offer({std::to_string(slot), "-", "1", now + 4s, std::nullopt}, now));
            now += 30ms;
        }
        const auto limit = response_target({80ms, 0ms, 1, is_nested}).value_or(200ms);
        int waiting = 0;
        for (int lookup = 0; lookup < 4; ++lookup)
        {
            const auto verdict =
                tested.offer({"lookup" + std::to_string(lookup), "-", "1", now + limit - 15ms, std::nullopt}, now);
            waiting += verdict.disposition == action::queue ? 1 : 0;
        }
        // The estimate covers 8 uploads of 180 ms and the 450 ms that the running ones have taken: a slot becomes free
        // every 236 / 5 = 47 ms, that is 3 times in 185 ms and once in 65 ms.
        LONGS_EQUAL(is_nested ? 3 : 1, waiting);
    }
}
