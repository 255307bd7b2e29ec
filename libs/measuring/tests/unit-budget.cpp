#include "poplarport/measuring/budget.hpp"

#include <algorithm> // min
#include <deque>     // deque
#include <random>    // mt19937_64
#include <stdexcept> // invalid_argument

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using poplarport::core::time_point;
using poplarport::measuring::budget;

namespace
{

constexpr time_point start{1h};

budget make_budget()
{
    return budget::builder{}.bytes(1000).processor_time(10ms).window(1s).burst(100ms).build(start);
}

} // namespace

TEST_GROUP(budget){};

// A node that restarts often must not get a full bucket at each start.
TEST(budget, starts_empty_and_refills_continuously)
{
    budget tested_budget = make_budget();
    CHECK_FALSE(tested_budget.try_spend(1, 0ns, start));
    CHECK_FALSE(tested_budget.try_spend(10, 0ns, start + 9ms));
    CHECK_TRUE(tested_budget.try_spend(10, 0ns, start + 10ms));
    CHECK_FALSE(tested_budget.try_spend(1, 0ns, start + 10ms));
    CHECK_EQUAL(10, tested_budget.spent().bytes);
    CHECK_EQUAL(2 + 1, tested_budget.refused());
    CHECK_EQUAL(1000, tested_budget.limit().per_window.bytes);
}

// After a process freeze, the grant of the frozen time must not be available beyond one burst.
TEST(budget, clock_jump_grants_at_most_one_burst)
{
    budget tested_budget = make_budget();
    const time_point later = start + 1h;
    std::uint64_t granted = 0;
    while (tested_budget.try_spend(1, 0ns, later))
    {
        ++granted;
    }
    CHECK_EQUAL(100, granted);
    CHECK_FALSE(tested_budget.try_spend(1, 0ns, later - 1h));
}

// An expense whose processor time is refused must not spend bytes.
TEST(budget, bytes_and_processor_time_are_spent_together)
{
    budget tested_budget = make_budget();
    const time_point later = start + 100ms;
    CHECK_FALSE(tested_budget.try_spend(1, 2ms, later));
    CHECK_EQUAL(0, tested_budget.spent().bytes);
    CHECK_TRUE(tested_budget.try_spend(100, 1ms, later));
    CHECK_FALSE(tested_budget.try_spend(0, 1ns, later));
}

// A new limit must neither grant a burst immediately nor cancel earlier expenses.
TEST(budget, new_limit_discards_the_saved_grant)
{
    budget tested_budget = make_budget();
    tested_budget.set_limit({{2000, 10ms}, 1s, 100ms}, start + 100ms);
    CHECK_FALSE(tested_budget.try_spend(1, 0ns, start + 100ms));
    CHECK_TRUE(tested_budget.try_spend(20, 0ns, start + 110ms));
    CHECK_THROWS(std::invalid_argument, tested_budget.set_limit({{1, 0ns}, 0ns, 0ns}, start));
}

// No window of the configured length may contain expenses above its grant plus one burst.
TEST(budget, no_window_exceeds_the_grant_and_one_burst)
{
    struct expense_record
    {
        time_point spent_at;
        std::uint64_t bytes;
    };
    std::mt19937_64 random{7};
    budget tested_budget = make_budget();
    std::deque<expense_record> recent;
    std::uint64_t in_window = 0;
    time_point now = start;
    for (int step = 0; step < 200'000; ++step)
    {
        const bool is_long_pause = random() % 1000 == 0;
        now += std::chrono::microseconds{is_long_pause ? random() % 3'000'000 : random() % 2000};
        const std::uint64_t bytes = 1 + random() % 30;
        while (!recent.empty() && recent.front().spent_at <= now - 1s)
        {
            in_window -= recent.front().bytes;
            recent.pop_front();
        }
        if (tested_budget.try_spend(bytes, 0ns, now))
        {
            recent.push_back({now, bytes});
            in_window += bytes;
        }
        CHECK(in_window <= 1000 + 100);
    }
}
