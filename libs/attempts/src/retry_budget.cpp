#include "poplarport/attempts/retry_budget.hpp"

#include <algorithm> // min
#include <cassert>   // assert
#include <cmath>     // floor

namespace poplarport::attempts
{

retry_budget::retry_budget(retry_budget_settings settings) : limits(settings), parts(settings.buckets)
{
    assert(settings.buckets > 0);
    assert(settings.ratio >= 0.0);
    assert(settings.window.count() >= static_cast<std::int64_t>(settings.buckets));
}

void retry_budget::on_call(core::time_point now)
{
    this->advance(now);
    ++this->current().calls;
    ++this->total.calls;
}

bool retry_budget::try_spend(core::time_point now)
{
    if (this->available(now) == 0)
    {
        ++this->refused_count;
        return false;
    }
    ++this->current().retries;
    ++this->total.retries;
    return true;
}

std::uint64_t retry_budget::available(core::time_point now)
{
    this->advance(now);
    const auto earned = std::floor(this->limits.ratio * static_cast<double>(this->total.calls));
    const auto allowed = this->limits.minimum + static_cast<std::uint64_t>(earned);
    return allowed > this->total.retries ? allowed - this->total.retries : 0;
}

void retry_budget::advance(core::time_point now)
{
    const auto width = this->limits.window.count() / static_cast<std::int64_t>(this->limits.buckets);
    const auto target = now.time_since_epoch().count() / width;
    const auto count = static_cast<std::int64_t>(this->parts.size());
    const auto steps = std::min(target - this->position, count);
    for (std::int64_t step = 0; step < steps; ++step)
    {
        this->position = target - steps + step + 1;
        bucket& expired = this->current();
        this->total.calls -= expired.calls;
        this->total.retries -= expired.retries;
        expired = {};
    }
}

retry_budget::bucket& retry_budget::current() noexcept
{
    return this->parts[static_cast<std::size_t>(this->position) % this->parts.size()];
}

} // namespace poplarport::attempts
