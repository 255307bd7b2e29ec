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

// A tenant must get its burst and its full rate, and not more in any second.
TEST(tenant_limiter, grants_the_burst_and_then_the_rate)
{
    const limits::tenant_limit limit{.rate_per_second = 100, .burst = 5, .concurrency = 0};
    int granted = 0;
    for (int elapsed_ms = 0; elapsed_ms < 1000; ++elapsed_ms)
    {
        if (!this->limiter.admit("a", limit, this->start + elapsed_ms * 1ms).refused)
        {
            ++granted;
        }
    }
    LONGS_EQUAL(104, granted);
}

// After a pause of the process, the bucket must not hold more than one burst.
TEST(tenant_limiter, long_pause_grants_one_burst_only)
{
    const limits::tenant_limit limit{.rate_per_second = 10, .burst = 3, .concurrency = 0};
    CHECK_FALSE(this->limiter.admit("a", limit, this->start).refused);
    int granted = 0;
    for (int request = 0; request < 100; ++request)
    {
        granted += this->limiter.admit("a", limit, this->start + 1h).refused ? 0 : 1;
    }
    LONGS_EQUAL(3, granted);
}

// Requests in flight of one tenant must not count against the limit of another one.
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

// Without dropping idle tenants, memory would grow with every tenant that ever sent a request.
TEST(tenant_limiter, state_of_idle_tenants_is_dropped)
{
    const limits::tenant_limit limit{.rate_per_second = 10, .burst = 1, .concurrency = 0};
    CHECK_FALSE(this->limiter.admit("a", limit, this->start).refused);
    this->limiter.release("a");
    this->limiter.drop_idle(this->start + 10ms);
    LONGS_EQUAL(1, this->limiter.size());
    this->limiter.drop_idle(this->start + 1s);
    LONGS_EQUAL(0, this->limiter.size());
}
