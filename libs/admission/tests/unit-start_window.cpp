#include <algorithm> // max
#include <cstddef>   // size_t
#include <random>    // mt19937_64, uniform_int_distribution
#include <string>    // to_string
#include <vector>    // vector

#include <CppUTest/TestHarness.h>

#include "poplarport/admission/gate.hpp"
#include "poplarport/admission/start_window.hpp"

using namespace std::chrono_literals;
using namespace poplarport::admission;
using poplarport::core::duration;
using poplarport::core::time_point;

namespace
{

constexpr time_point begin{1h};

std::size_t max_in_second(const std::vector<time_point>& starts)
{
    std::size_t result = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < starts.size(); ++last)
    {
        while (starts[last] - starts[first] >= 1s)
        {
            ++first;
        }
        result = std::max(result, last - first + 1);
    }
    return result;
}

// Starts as many requests as the window permits, at random times.
std::vector<time_point> start_at_random(start_window& tested, time_point from, time_point to, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::uniform_int_distribution<int> pause_ms{0, 90};
    std::vector<time_point> starts;
    for (auto now = from; now < to; now += std::chrono::milliseconds{pause_ms(random)})
    {
        if (tested.may_start(now))
        {
            tested.on_started(now);
            starts.push_back(now);
        }
    }
    return starts;
}

} // namespace

TEST_GROUP(start_window){};

// Guards against a bucket, which permits two full loads within one second: an upstream that is cold fails by it.
TEST(start_window, no_second_has_more_starts_than_the_limit)
{
    for (const double limit : {1.0, 2.0, 12.0, 16.0})
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed)
        {
            start_window tested{begin};
            tested.set_limit(limit);
            const auto starts = start_at_random(tested, begin, begin + 10s, seed);
            CHECK(static_cast<double>(max_in_second(starts)) <= limit);
            CHECK(static_cast<double>(starts.size()) >= 8.0 * limit * 0.8);
        }
    }
}

// Guards against an upstream that becomes cold while it is busy: what it got just before counts.
TEST(start_window, a_limit_counts_the_starts_before_it_was_set)
{
    start_window tested{begin};
    for (int number = 0; number < 20; ++number)
    {
        tested.on_started(begin + 2s + 10ms * number);
    }
    tested.set_limit(12.0);
    CHECK_FALSE(tested.may_start(begin + 2s + 500ms));
    CHECK(tested.wait_for(1.0, begin + 2s + 500ms) == 580ms);
    CHECK(tested.may_start(begin + 3s + 80ms));
}

// Guards against a restarted node, which does not know what its predecessor has started within the last second.
TEST(start_window, the_first_second_counts_as_used_up)
{
    start_window tested{begin};
    CHECK(tested.may_start(begin));
    tested.set_limit(12.0);
    CHECK(tested.wait_for(1.0, begin + 300ms) == 700ms);
    CHECK(tested.may_start(begin + 1s));
    // With a reserve beside the limit, so many requests may start at once.
    tested.set_limit(12.0, 2.0);
    tested.on_started(begin + 100ms);
    CHECK(tested.may_start(begin + 200ms));
    tested.on_started(begin + 200ms);
    CHECK_FALSE(tested.may_start(begin + 300ms));
}

TEST(start_window, wait_grows_with_the_requests_before)
{
    struct wait_case
    {
        double count;
        duration wait;
    };
    start_window tested{begin};
    tested.set_limit(2.0);
    tested.on_started(begin + 2s);
    tested.on_started(begin + 2s + 400ms);
    for (const auto& each : {wait_case{1.0, 500ms}, {2.0, 900ms}, {3.0, 1s}, {5.0, 2s}})
    {
        CHECK(tested.wait_for(each.count, begin + 2s + 500ms) == each.wait);
    }
}

// Pattern: an upstream with many free slots is cold, and far more requests arrive than it tolerates. The gate starts
// the tolerated number, refuses at once what cannot start in time, and reports that it is full.
TEST(start_window, gate_of_a_cold_upstream_is_full_at_its_rate)
{
    auto tested = gate::builder{}.slots(12).queue_capacity(48).build(begin);
    static_cast<void>(tested.set_cold_limit(12.0, 0.0, begin));
    std::vector<time_point> starts;
    std::size_t refused = 0;
    int id = 0;
    for (auto now = begin + 1s; now < begin + 6s; now += 10ms)
    {
        const auto name = std::to_string(++id);
        const auto verdict = tested.offer({name, "a", "normal", now + 300ms, std::nullopt}, now);
        const auto changed = tested.expire(now);
        refused += changed.refused.size() + (verdict.disposition == action::refuse ? 1 : 0);
        auto started = changed.started;
        if (verdict.disposition == action::admit)
        {
            started.push_back(name);
        }
        for (const auto& each : started)
        {
            starts.push_back(now);
            static_cast<void>(tested.release(each, 10ms, now));
        }
    }
    CHECK(max_in_second(starts) <= 12);
    CHECK(starts.size() >= 48);
    CHECK(refused >= 500 - starts.size() - 48);
    const auto report = tested.load(begin + 5990ms);
    CHECK(report.in_flight >= report.slots);
    static_cast<void>(tested.set_cold_limit(std::nullopt, 0.0, begin + 6s));
    LONGS_EQUAL(12, tested.load(begin + 8s).slots);
}
