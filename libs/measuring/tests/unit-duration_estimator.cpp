#include "poplarport/measuring/duration_estimator.hpp"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using poplarport::core::time_point;
using poplarport::measuring::duration_estimator;

TEST_GROUP(duration_estimator){};

// The estimate must reflect a slowdown before the first slow operation ends.
TEST(duration_estimator, unfinished_operations_raise_the_estimate)
{
    time_point now{1h};
    duration_estimator estimator{10ms, 16.0, now};
    for (int count = 0; count < 100; ++count)
    {
        estimator.on_started(now);
        now += 10ms;
        estimator.on_finished(now);
    }
    CHECK(estimator.estimate(now) > 9900us && estimator.estimate(now) < 10100us);
    for (int slot = 0; slot < 9; ++slot)
    {
        estimator.on_started(now);
    }
    CHECK(estimator.estimate(now + 40ms) > 30ms);
}

// Neither an earlier slowdown nor operations that never finish may affect the estimate permanently.
TEST(duration_estimator, recovers_and_ignores_abandoned_operations)
{
    time_point now{1h};
    duration_estimator estimator{100ms, 16.0, now};
    for (int count = 0; count < 200; ++count)
    {
        estimator.on_started(now);
        now += 1ms;
        estimator.on_finished(now);
    }
    estimator.on_started(now);
    estimator.on_abandoned(now);
    CHECK(estimator.estimate(now + 1h) < 1100us);
    CHECK_EQUAL(0, estimator.in_progress());
}
