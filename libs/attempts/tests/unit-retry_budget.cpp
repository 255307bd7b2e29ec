#include "poplarport/attempts/retry_budget.hpp"

#include <vector> // vector

#include "property.hpp"

using namespace poplarport;
using namespace std::chrono_literals;

namespace
{

struct log_entry
{
    std::int64_t second;
    bool is_retry;
};

std::uint64_t count_since(const std::vector<log_entry>& log, std::int64_t first_second, bool is_retry)
{
    std::uint64_t sum = 0;
    for (const log_entry& each : log)
    {
        sum += each.second >= first_second && each.is_retry == is_retry ? 1 : 0;
    }
    return sum;
}

} // namespace

TEST_GROUP(retry_budget){};

// Invariant: a retry is granted if and only if the budget permits it, as computed by a full recount of the log.
TEST(retry_budget, grants_equal_a_recount_of_the_window)
{
    check_property(3, 3000,
                   [](const std::vector<std::uint8_t>& script)
                   {
                       constexpr std::int64_t window_seconds = 4;
                       attempts::retry_budget tested_budget{{0.25, 2, std::chrono::seconds{window_seconds}, 4}};
                       std::vector<log_entry> log;
                       core::time_point now{100s};
                       for (const std::uint8_t script_number : script)
                       {
                           now += 100ms * (script_number % 8);
                           const auto second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
                           if (script_number < 160)
                           {
                               tested_budget.on_call(now);
                               log.push_back({second, false});
                               continue;
                           }
                           const auto first = second - window_seconds + 1;
                           const auto max_retries = 2 + count_since(log, first, false) / 4;
                           const bool expected = count_since(log, first, true) < max_retries;
                           RC_ASSERT(tested_budget.try_spend(now) == expected);
                           if (expected)
                           {
                               log.push_back({second, true});
                           }
                       }
                   });
}

// Counts must not survive a long pause, and the time to expire them must not grow with the length of the pause.
TEST(retry_budget, a_long_pause_empties_the_window)
{
    attempts::retry_budget tested_budget{{1.0, 0, 10s, 10}};
    tested_budget.on_call(core::time_point{100s});
    LONGS_EQUAL(1, tested_budget.available(core::time_point{109s}));
    LONGS_EQUAL(0, tested_budget.available(core::time_point{1000000h}));
    CHECK_FALSE(tested_budget.try_spend(core::time_point{1000000h}));
    LONGS_EQUAL(1, tested_budget.refused());
}

// Pattern: a budget shared by hundreds of nodes, of which each has less than one retry of the reserve. Rounded to zero,
// a part of the requests that fail would be tried only once.
TEST(retry_budget, fractions_of_the_reserve_and_the_ratio_count_together)
{
    const auto start = core::time_point{1000s};
    attempts::retry_budget budget{{0.07, 0.75, 10s, 10}};
    for (int call = 0; call < 4; ++call)
    {
        budget.on_call(start);
    }
    CHECK(budget.try_spend(start));
    CHECK_FALSE(budget.try_spend(start));
}

// Hedges must leave a part of the budget for the retries of failed requests.
TEST(retry_budget, a_fraction_of_the_budget_is_left)
{
    const auto start = core::time_point{1000s};
    attempts::retry_budget budget{{0.0, 4.0, 10s, 10}};
    LONGS_EQUAL(2, budget.available(start, 0.5));
    CHECK(budget.try_spend(start, 0.5));
    CHECK(budget.try_spend(start, 0.5));
    CHECK_FALSE(budget.try_spend(start, 0.5));
    CHECK(budget.try_spend(start));
    LONGS_EQUAL(1, budget.available(start));
}
