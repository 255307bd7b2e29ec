#include <algorithm> // max
#include <chrono>    // milliseconds, seconds
#include <map>       // map
#include <random>    // mt19937_64

#include <CppUTest/TestHarness.h>

#include "poplarport/admission/retry_after.hpp"

using namespace poplarport;
using namespace std::chrono_literals;

TEST_GROUP(retry_after){};

// Pattern: hundreds of callers are refused within the same millisecond because all slots are taken. If they returned
// together, all but a few would be refused again.
TEST(retry_after, callers_that_are_refused_together_return_spread)
{
    std::mt19937_64 random{1};
    constexpr int callers = 1000;
    for (const std::uint32_t priority : {0U, 2U})
    {
        std::map<std::int64_t, int> arrivals; // by interval of 20 ms
        int most = 0;
        for (int caller = 0; caller < callers; ++caller)
        {
            const auto delay = admission::retry_after(400ms, priority, random);
            CHECK(delay >= 400ms);
            CHECK(delay <= 1s);
            most = std::max(most, ++arrivals[delay / 20ms]);
        }
        CHECK(arrivals.size() >= 10);
        CHECK(most < callers / 5);
    }
}

// A caller must not be told a time at which no place can be expected, nor one that is far beyond what can be foretold.
TEST(retry_after, the_delay_follows_the_expected_wait)
{
    struct wait_case
    {
        std::optional<core::duration> expected_wait;
        core::duration min_delay;
        core::duration max_delay;
    };
    const std::vector<wait_case> cases{{std::nullopt, 100ms, 150ms}, {0ms, 50ms, 75ms}, {-10ms, 50ms, 75ms},
                                       {80ms, 80ms, 120ms},          {1s, 1s, 1500ms},  {1min, 2s, 3s}};
    std::mt19937_64 random{1};
    for (const auto& each : cases)
    {
        for (int repetition = 0; repetition < 20; ++repetition)
        {
            const auto delay = admission::retry_after(each.expected_wait, 0, random);
            CHECK(delay >= each.min_delay);
            CHECK(delay <= each.max_delay);
        }
    }
}

// Urgent requests return before less urgent ones on average, also beside an unknown priority.
TEST(retry_after, urgent_callers_return_first)
{
    std::mt19937_64 random{1};
    core::duration previous{0};
    for (const std::uint32_t priority : {0U, 1U, 2U, 3U})
    {
        core::duration sum{0};
        for (int repetition = 0; repetition < 200; ++repetition)
        {
            sum += admission::retry_after(200ms, priority, random);
        }
        CHECK(sum > previous);
        previous = sum;
    }
    CHECK(admission::retry_after(200ms, 1000, random) <= 600ms);
}
