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

// Guards against a node that restarts often and gets a full bucket each time.
TEST(budget, starts_empty_and_refills_continuously)
{
    budget value = make_budget();
    CHECK_FALSE(value.try_spend(1, 0ns, start));
    CHECK_FALSE(value.try_spend(10, 0ns, start + 9ms));
    CHECK_TRUE(value.try_spend(10, 0ns, start + 10ms));
    CHECK_FALSE(value.try_spend(1, 0ns, start + 10ms));
    CHECK_EQUAL(10, value.spent().bytes);
    CHECK_EQUAL(2 + 1, value.refused());
    CHECK_EQUAL(1000, value.limit().per_window.bytes);
}

// Guards against spending the saved-up grant of the time for which a process was frozen.
TEST(budget, jump_of_the_clock_grants_at_most_one_burst)
{
    budget value = make_budget();
    const time_point later = start + 1h;
    std::uint64_t granted = 0;
    while (value.try_spend(1, 0ns, later))
    {
        ++granted;
    }
    CHECK_EQUAL(100, granted);
    CHECK_FALSE(value.try_spend(1, 0ns, later - 1h));
}

// Guards against an expense that takes bytes although its processor time is refused.
TEST(budget, both_parts_are_spent_or_neither)
{
    budget value = make_budget();
    const time_point later = start + 100ms;
    CHECK_FALSE(value.try_spend(1, 2ms, later));
    CHECK_EQUAL(0, value.spent().bytes);
    CHECK_TRUE(value.try_spend(100, 1ms, later));
    CHECK_FALSE(value.try_spend(0, 1ns, later));
}

// Guards against a new configuration that grants a burst at once or forgives earlier spending.
TEST(budget, new_limit_grants_nothing_saved)
{
    budget value = make_budget();
    value.set_limit({{2000, 10ms}, 1s, 100ms}, start + 100ms);
    CHECK_FALSE(value.try_spend(1, 0ns, start + 100ms));
    CHECK_TRUE(value.try_spend(20, 0ns, start + 110ms));
    CHECK_THROWS(std::invalid_argument, value.set_limit({{1, 0ns}, 0ns, 0ns}, start));
}

// Guards against any window of the stated length in which more than the window's grant and one burst is spent.
TEST(budget, no_window_exceeds_the_grant_and_one_burst)
{
    struct expense_record
    {
        time_point at;
        std::uint64_t bytes;
    };
    std::mt19937_64 random{7};
    budget value = make_budget();
    std::deque<expense_record> recent;
    std::uint64_t in_window = 0;
    time_point now = start;
    for (int step = 0; step < 200'000; ++step)
    {
        const bool long_pause = random() % 1000 == 0;
        now += std::chrono::microseconds{long_pause ? random() % 3'000'000 : random() % 2000};
        const std::uint64_t bytes = 1 + random() % 30;
        while (!recent.empty() && recent.front().at <= now - 1s)
        {
            in_window -= recent.front().bytes;
            recent.pop_front();
        }
        if (value.try_spend(bytes, 0ns, now))
        {
            recent.push_back({now, bytes});
            in_window += bytes;
        }
        CHECK(in_window <= 1000 + 100);
    }
}
