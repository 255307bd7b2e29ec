#include "poplarport/measuring/class_durations.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace std::chrono_literals;

TEST_GROUP(class_durations)
{
    measuring::class_durations subject{};
    core::time_point now{1h};
};

// Guards against a server that looks fast because it has just answered many short requests.
TEST(class_durations, short_operations_do_not_hide_long_ones)
{
    CHECK_FALSE(subject.longest(now));
    subject.add("long", 350ms, now);
    for (int count = 0; count < 100; ++count)
    {
        subject.add("short", 35ms, now);
    }
    CHECK(*subject.longest(now) == 350ms);
    CHECK(subject.of("short") == 35ms);
    CHECK(subject.of("other") == 0ms);
}

// Guards against a server that looks slow for ever because of a class that has ended.
TEST(class_durations, a_class_that_ended_is_left_out)
{
    subject.add("old", 900ms, now);
    now += 9s;
    subject.add("present", 100ms, now);
    CHECK(*subject.longest(now) == 900ms);
    now += 2s;
    CHECK(*subject.longest(now) == 100ms);
    CHECK(subject.of("old") == 900ms);
}

// Guards against an average that does not follow a server that turns slow.
TEST(class_durations, an_average_follows_a_lasting_change)
{
    subject.add("a", 100ms, now);
    for (int count = 0; count < 20; ++count)
    {
        subject.add("a", 500ms, now);
    }
    CHECK(subject.of("a") > 460ms);
}

// Guards against memory that callers can fill with new classes.
TEST(class_durations, the_number_of_classes_is_bounded)
{
    for (int number = 0; number < 3000; ++number)
    {
        subject.add("class-" + std::to_string(number), 1ms, now);
    }
    CHECK(subject.of("class-1000") == 1ms);
    CHECK(subject.of("class-2999") == 0ms);
}
