#include <algorithm> // ranges::sort
#include <chrono>    // milliseconds, seconds
#include <cstddef>   // size_t
#include <random>    // mt19937_64
#include <vector>    // vector

#include <CppUTest/TestHarness.h>

#include "poplarport/configuration/watch_schedule.hpp"

using namespace poplarport;
using namespace std::chrono_literals;
using configuration::watch_schedule;
using configuration::watch_step;

TEST_GROUP(watch_schedule){};

// Pattern: hundreds of nodes start together. Each of them considers itself the first-ranked member until it knows the
// others; a watch of each would cost one call a node.
TEST(watch_schedule, a_starting_node_does_not_watch_before_it_knows_the_members)
{
    for (const bool is_first_start : {false, true})
    {
        std::mt19937_64 random{1};
        const core::time_point start{100s};
        watch_schedule schedule{{.is_first_start = is_first_start}, start, random};
        int reads = 0;
        for (auto now = start; now < start + 10s; now += 10ms)
        {
            if (now == start + 1s)
            {
                schedule.on_members_changed(true, now);
            }
            // The members that rank higher are known one second after the first one.
            const bool has_rank = now < start + 2s;
            const auto step = schedule.tick(has_rank, reads > 0, now);
            CHECK(step == watch_step::none || step == watch_step::read_lagging);
            if (step == watch_step::read_lagging)
            {
                ++reads;
                schedule.on_read(now, random);
            }
        }
        LONGS_EQUAL(1, reads);
    }
}

// Pattern: 25 changes within 1.5 s. Each change ends a watch, and each watch is a call.
TEST(watch_schedule, a_series_of_changes_costs_few_calls)
{
    std::mt19937_64 random{1};
    const core::time_point start{100s};
    watch_schedule schedule{{}, start, random};
    CHECK(schedule.tick(true, false, start) == watch_step::read_lagging);
    schedule.on_read(start, random);
    auto now = start + 3s;
    CHECK(schedule.tick(true, true, now) == watch_step::read_latest);
    schedule.on_read(now, random);
    int watches = 0;
    const auto begin = now;
    for (; now < begin + 1500ms; now += 60ms)
    {
        if (schedule.tick(true, true, now) == watch_step::watch)
        {
            ++watches;
            schedule.on_watched(true, now + 1ms);
        }
    }
    CHECK(watches <= 7);
    // The last change is seen within a second of the series' end.
    CHECK(schedule.tick(true, true, now + 1s) == watch_step::watch);
}

// Pattern: all open connections to the store become silent, and a watch on one of them misses every change. The watches
// of all watchers must therefore not end together, but one after the other at short intervals, from the first round on.
TEST(watch_schedule, the_watches_of_all_watchers_end_in_turn)
{
    constexpr auto max_gap = 1500ms;
    for (const std::size_t watchers : {1U, 2U, 6U})
    {
        std::mt19937_64 random{1};
        const core::time_point start{100s};
        std::vector<core::time_point> ends;
        for (std::size_t position = 0; position < watchers; ++position)
        {
            watch_schedule schedule{{}, start, random};
            CHECK(schedule.tick(true, false, start) == watch_step::read_lagging);
            schedule.on_read(start, random);
            auto now = start + 3s;
            CHECK(schedule.tick(true, true, now) == watch_step::read_latest);
            schedule.on_read(now, random);
            while (now < start + 60s)
            {
                CHECK(schedule.tick(true, true, now) == watch_step::watch);
                now += schedule.watch_wait(position, watchers);
                ends.push_back(now);
                schedule.on_watched(false, now);
            }
        }
        std::ranges::sort(ends);
        auto previous = start + 3s;
        for (const auto end : ends)
        {
            CHECK(end - previous <= max_gap);
            previous = end;
        }
        // Each watch is a call to the store: no more than one an interval.
        CHECK(ends.size() <= 57s / max_gap + watchers);
    }
}

// A watch without a response must be followed by a read, which ends soon if the store does not respond to this node.
TEST(watch_schedule, a_silent_watch_is_followed_by_a_read)
{
    std::mt19937_64 random{1};
    const core::time_point start{100s};
    watch_schedule schedule{{}, start, random};
    CHECK(schedule.tick(true, false, start) == watch_step::read_lagging);
    schedule.on_read(start, random);
    CHECK(schedule.tick(true, true, start + 3s) == watch_step::read_latest);
    schedule.on_read(start + 3s, random);
    CHECK(schedule.tick(true, true, start + 3s) == watch_step::watch);
    schedule.on_no_response(start + 5s);
    CHECK(schedule.tick(true, true, start + 5s) == watch_step::read_latest);
    schedule.on_failed(start + 6s, random);
    CHECK(schedule.tick(true, true, start + 6s) == watch_step::none);
}

// A node that has pulled its first configuration still has a read scheduled, seconds later. It must not wait for it
// when it becomes a watcher.
TEST(watch_schedule, a_scheduled_read_does_not_delay_a_new_watcher)
{
    std::mt19937_64 random{1};
    const core::time_point start{100s};
    watch_schedule schedule{{}, start, random};
    auto now = start;
    for (; now < start + 5s; now = schedule.next_wakeup())
    {
        CHECK(schedule.tick(false, false, now) == watch_step::read_lagging);
        schedule.on_read(now, random);
    }
    now -= 2s;
    schedule.on_members_changed(true, now);
    now = schedule.next_wakeup();
    CHECK(schedule.tick(true, true, now) == watch_step::read_latest);
}

// A member that gains the rank of a watcher because another one has ended or lost the store must watch within the time
// in which a change must be in force.
TEST(watch_schedule, a_lost_watcher_is_replaced_within_a_second)
{
    std::mt19937_64 random{1};
    const core::time_point start{100s};
    watch_schedule schedule{{}, start, random};
    CHECK(schedule.tick(false, false, start) == watch_step::read_lagging);
    schedule.on_read(start, random);
    schedule.on_members_changed(true, start + 50ms);
    for (auto now = start; now < start + 20s; now += 10ms)
    {
        CHECK(schedule.tick(false, true, now) == watch_step::none);
    }
    schedule.on_members_changed(true, start + 20s);
    CHECK(schedule.next_wakeup() <= start + 21s);
    CHECK(schedule.tick(true, true, schedule.next_wakeup()) == watch_step::read_latest);
    schedule.on_read(start + 21s, random);
    CHECK(schedule.tick(true, true, start + 21s) == watch_step::watch);
    schedule.on_history_lost(start + 22s);
    CHECK(schedule.tick(true, true, start + 22s) == watch_step::read_latest);
}

// A node that holds no configuration must learn it without members, and must not overload a store that is away.
TEST(watch_schedule, a_node_without_a_configuration_reads_until_it_has_one)
{
    std::mt19937_64 random{1};
    const core::time_point start{100s};
    watch_schedule schedule{{}, start, random};
    int failed = 0;
    auto now = start;
    for (; now < start + 10s; now += 10ms)
    {
        if (schedule.tick(false, false, now) != watch_step::none)
        {
            ++failed;
            schedule.on_failed(now, random);
        }
    }
    CHECK(failed >= 8 && failed < 25);
    int reads = 0;
    for (; now < start + 40s; now += 10ms)
    {
        if (schedule.tick(false, false, now) == watch_step::read_lagging)
        {
            ++reads;
            schedule.on_read(now, random);
        }
    }
    CHECK(reads >= 5 && reads < 30);
}
