#include "poplarport/attempts/retry_budget.hpp"

#include <vector> // vector

#include "property.hpp"

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

struct record
{
    std::int64_t second;
    bool is_retry;
};

std::uint64_t count_since(const std::vector<record>& log, std::int64_t first_second, bool is_retry)
{
    std::uint64_t sum = 0;
    for (const record& each : log)
    {
        sum += each.second >= first_second && each.is_retry == is_retry ? 1 : 0;
    }
    return sum;
}

} // namespace

TEST_GROUP(retry_budget){};

// Invariant: retries never above the budget, and never refused below it; compared with a full recount of the log.
TEST(retry_budget, grants_equal_a_recount_of_the_window)
{
    check_property(3, 3000,
                   [](const std::vector<std::uint8_t>& script)
                   {
                       constexpr std::int64_t window_seconds = 4;
                       attempts::retry_budget subject{{0.25, 2, std::chrono::seconds{window_seconds}, 4}};
                       std::vector<record> log;
                       core::time_point now{100s};
                       for (const std::uint8_t number : script)
                       {
                           now += 100ms * (number % 8);
                           const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
                           if (number < 160)
                           {
                               subject.on_call(now);
                               log.push_back({second, false});
                               continue;
                           }
                           const auto first = second - window_seconds + 1;
                           const auto allowed = 2 + count_since(log, first, false) / 4;
                           const bool expected = count_since(log, first, true) < allowed;
                           RC_ASSERT(subject.try_spend(now) == expected);
                           if (expected)
                           {
                               log.push_back({second, true});
                           }
                       }
                   });
}

// Guards against counts that survive a long pause, or a pause that costs time in proportion to its length.
TEST(retry_budget, a_long_pause_empties_the_window)
{
    attempts::retry_budget subject{{1.0, 0, 10s, 10}};
    subject.on_call(core::time_point{100s});
    LONGS_EQUAL(1, subject.available(core::time_point{109s}));
    LONGS_EQUAL(0, subject.available(core::time_point{1000000h}));
    CHECK_FALSE(subject.try_spend(core::time_point{1000000h}));
    LONGS_EQUAL(1, subject.refused());
}
