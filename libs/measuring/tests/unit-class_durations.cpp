#include "poplarport/measuring/class_durations.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

TEST_GROUP(class_durations)
{
    measuring::class_durations durations{};
    core::time_point now{1h};
};

// A server must not appear fast because its latest operations were many short ones.
TEST(class_durations, short_operations_do_not_hide_long_ones)
{
    CHECK_FALSE(durations.max_average(now));
    durations.add("long", 350ms, now);
    for (int count = 0; count < 100; ++count)
    {
        durations.add("short", 35ms, now);
    }
    CHECK(*durations.max_average(now) == 350ms);
    CHECK(durations.of("short") == 35ms);
    CHECK(durations.of("other") == 0ms);
}

// A server must not appear slow indefinitely because of a class that no longer occurs.
TEST(class_durations, a_class_that_no_longer_occurs_is_ignored)
{
    durations.add("old", 900ms, now);
    now += 9s;
    durations.add("present", 100ms, now);
    CHECK(*durations.max_average(now) == 900ms);
    now += 2s;
    CHECK(*durations.max_average(now) == 100ms);
    CHECK(durations.of("old") == 900ms);
}

// The average must follow a server that becomes slow.
TEST(class_durations, an_average_follows_a_lasting_change)
{
    durations.add("a", 100ms, now);
    for (int count = 0; count < 20; ++count)
    {
        durations.add("a", 500ms, now);
    }
    CHECK(durations.of("a") > 460ms);
}

// Callers must not be able to exhaust memory with new class names.
TEST(class_durations, the_number_of_classes_is_bounded)
{
    for (int number = 0; number < 3000; ++number)
    {
        durations.add("class-" + std::to_string(number), 1ms, now);
    }
    CHECK(durations.of("class-1000") == 1ms);
    CHECK(durations.of("class-2999") == 0ms);
}
