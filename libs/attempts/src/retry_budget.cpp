#include "poplarport/attempts/retry_budget.hpp"

#include <algorithm> // min
#include <cassert>   // assert
#include <cmath>     // floor

namespace poplarport::attempts
{

retry_budget::retry_budget(retry_budget_settings settings) : limits(settings), buckets(settings.buckets)
{
    assert(settings.buckets > 0);
    assert(settings.ratio >= 0.0);
    assert(settings.window.count() >= static_cast<std::int64_t>(settings.buckets));
}

void retry_budget::on_call(core::time_point now)
{
    this->advance(now);
    ++this->current().calls;
    ++this->totals.calls;
}

bool retry_budget::try_spend(core::time_point now, double fraction)
{
    if (this->available(now, fraction) == 0)
    {
        ++this->refused_count;
        return false;
    }
    ++this->current().retries;
    ++this->totals.retries;
    return true;
}

std::uint64_t retry_budget::available(core::time_point now, double fraction)
{
    this->advance(now);
    const auto budget = this->limits.minimum + this->limits.ratio * static_cast<double>(this->totals.calls);
    const auto allowed = static_cast<std::uint64_t>(std::floor(budget * fraction));
    return allowed > this->totals.retries ? allowed - this->totals.retries : 0;
}

void retry_budget::advance(core::time_point now)
{
    const auto bucket_width = this->limits.window.count() / static_cast<std::int64_t>(this->limits.buckets);
    const auto target_index = now.time_since_epoch().count() / bucket_width;
    const auto bucket_count = static_cast<std::int64_t>(this->buckets.size());
    const auto steps = std::min(target_index - this->current_index, bucket_count);
    for (std::int64_t step = 0; step < steps; ++step)
    {
        this->current_index = target_index - steps + step + 1;
        bucket& expired = this->current();
        this->totals.calls -= expired.calls;
        this->totals.retries -= expired.retries;
        expired = {};
    }
}

retry_budget::bucket& retry_budget::current() noexcept
{
    return this->buckets[static_cast<std::size_t>(this->current_index) % this->buckets.size()];
}

} // namespace poplarport::attempts
