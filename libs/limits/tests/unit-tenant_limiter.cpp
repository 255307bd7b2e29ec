#include "poplarport/limits/tenant_limiter.hpp"

#include <chrono> // milliseconds, seconds

#include <CppUTest/TestHarness.h>

#include "poplarport/limits/errors.hpp"

using namespace poplarport;
using namespace std::chrono_literals;

TEST_GROUP(tenant_limiter)
{
    limits::tenant_limiter limiter{};
    const core::time_point start{1h};
};

// Guards against a tenant that exceeds its rate in any second, and against a rate that is not granted.
TEST(tenant_limiter, grants_the_burst_and_then_the_rate)
{
    const limits::tenant_limit limit{.rate_per_second = 100, .burst = 5, .concurrency = 0};
    int granted = 0;
    for (int millisecond = 0; millisecond < 1000; ++millisecond)
    {
        if (!this->limiter.admit("a", limit, this->start + millisecond * 1ms).refused)
        {
            ++granted;
        }
    }
    LONGS_EQUAL(104, granted);
}

// Guards against a pause of the process that grants more than one burst.
TEST(tenant_limiter, long_pause_grants_one_burst_only)
{
    const limits::tenant_limit limit{.rate_per_second = 10, .burst = 3, .concurrency = 0};
    CHECK_FALSE(this->limiter.admit("a", limit, this->start).refused);
    int granted = 0;
    for (int index = 0; index < 100; ++index)
    {
        granted += this->limiter.admit("a", limit, this->start + 1h).refused ? 0 : 1;
    }
    LONGS_EQUAL(3, granted);
}

// Guards against one tenant's requests in flight counting for another one.
TEST(tenant_limiter, concurrency_is_counted_per_tenant)
{
    const limits::tenant_limit limit{.rate_per_second = 0, .burst = 0, .concurrency = 2};
    CHECK_FALSE(this->limiter.admit("a", limit, this->start).refused);
    CHECK_FALSE(this->limiter.admit("a", limit, this->start).refused);
    CHECK(this->limiter.admit("a", limit, this->start).refused == limits::errc::concurrency_exceeded);
    CHECK_FALSE(this->limiter.admit("b", limit, this->start).refused);
    this->limiter.release("a");
    CHECK_FALSE(this->limiter.admit("a", limit, this->start).refused);
}

// Guards against state that grows with every tenant ever seen.
TEST(tenant_limiter, idle_tenants_are_forgotten)
{
    const limits::tenant_limit limit{.rate_per_second = 10, .burst = 1, .concurrency = 0};
    CHECK_FALSE(this->limiter.admit("a", limit, this->start).refused);
    this->limiter.release("a");
    this->limiter.drop_idle(this->start + 10ms);
    LONGS_EQUAL(1, this->limiter.size());
    this->limiter.drop_idle(this->start + 1s);
    LONGS_EQUAL(0, this->limiter.size());
}
