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

// A holder that was paused past the expiry of its lease must not overwrite what its successor wrote.
TEST(object_lease, holder_that_lost_its_lease_writes_with_an_outdated_version)
{
    first.on_read(std::nullopt, 0);
    const auto acquired = first.acquire(start);
    LONGS_EQUAL(0, acquired->expected_version);
    first.on_written(1);
    CHECK(first.held(start));

    second.on_read(acquired->record, 1);
    CHECK_FALSE(second.acquire(start + 9s).has_value());
    LONGS_EQUAL(1, second.acquire(start + 10s)->expected_version);
    second.on_written(2);

    // The first holder resumes and still holds the lease by its local state, so its write expects the outdated version.
    LONGS_EQUAL(1, first.acquire(start + 11s)->expected_version);
    first.on_lost();
    CHECK_FALSE(first.held(start + 11s));
    CHECK_FALSE(first.acquire(start + 11s).has_value());
}
