#include "poplarport/configuration/object_lease.hpp"

#include <CppUTest/TestHarness.h>

using namespace poplarport::configuration;
using namespace std::chrono_literals;

TEST_GROUP(object_lease)
{
    const wall_time start{1000s};
    object_lease first{"a", 10s};
    object_lease second{"b", 10s};
};

// Guards against a paused holder that overwrites what its successor wrote.
TEST(object_lease, a_holder_that_lost_its_lease_writes_against_an_old_version)
{
    first.on_read(std::nullopt, 0);
    const auto taken = first.acquire(start);
    LONGS_EQUAL(0, taken->expected_version);
    first.on_written(1);
    CHECK(first.held(start));

    second.on_read(taken->record, 1);
    CHECK_FALSE(second.acquire(start + 9s).has_value());
    LONGS_EQUAL(1, second.acquire(start + 10s)->expected_version);
    second.on_written(2);

    // The first holder resumes, takes the lease for its own, and its write names the version before the takeover.
    LONGS_EQUAL(1, first.acquire(start + 11s)->expected_version);
    first.on_lost();
    CHECK_FALSE(first.held(start + 11s));
    CHECK_FALSE(first.acquire(start + 11s).has_value());
}
