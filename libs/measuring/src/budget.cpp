#include "poplarport/measuring/budget.hpp"

#include <algorithm> // max
#include <cmath>     // ceil
#include <optional>  // optional, nullopt
#include <stdexcept> // invalid_argument

namespace poplarport::measuring
{

namespace
{

void validate(const allowance& checked_allowance)
{
    if (checked_allowance.window <= std::chrono::nanoseconds::zero())
    {
        throw std::invalid_argument("the window of a measuring budget must be positive");
    }
    if (checked_allowance.burst < std::chrono::nanoseconds::zero())
    {
        throw std::invalid_argument("the burst of a measuring budget must not be negative");
    }
    if (checked_allowance.per_window.processor_time < std::chrono::nanoseconds::zero())
    {
        throw std::invalid_argument("the processor time of a measuring budget must not be negative");
    }
}

// Returns the time in which the allowance grants the amount, or nothing if that is longer than one burst.
std::optional<core::duration> time_to_grant(long double amount, long double per_window, const allowance& limit)
{
    if (amount <= 0)
    {
        return core::duration::zero();
    }
    if (per_window <= 0)
    {
        return std::nullopt;
    }
    const long double grant_time = std::ceil(amount * static_cast<long double>(limit.window.count()) / per_window);
    if (grant_time > static_cast<long double>(limit.burst.count()))
    {
        return std::nullopt;
    }
    return std::chrono::nanoseconds{static_cast<std::chrono::nanoseconds::rep>(grant_time)};
}

} // namespace

budget::budget(const allowance& initial_allowance, core::time_point now)
    : active_allowance(initial_allowance), bytes_spent_until(now), processor_spent_until(now)
{
    validate(initial_allowance);
}

bool budget::try_spend(std::uint64_t bytes, std::chrono::nanoseconds processor_time, core::time_point now) noexcept
{
    const auto byte_grant_time =
        time_to_grant(static_cast<long double>(bytes),
                      static_cast<long double>(this->active_allowance.per_window.bytes), this->active_allowance);
    const auto processor_grant_time = time_to_grant(
        static_cast<long double>(processor_time.count()),
        static_cast<long double>(this->active_allowance.per_window.processor_time.count()), this->active_allowance);
    if (byte_grant_time && processor_grant_time)
    {
        const core::time_point full_bucket_time = now - this->active_allowance.burst;
        const core::time_point bytes_until = std::max(this->bytes_spent_until, full_bucket_time) + *byte_grant_time;
        const core::time_point processor_until =
            std::max(this->processor_spent_until, full_bucket_time) + *processor_grant_time;
        if (bytes_until <= now && processor_until <= now)
        {
            this->bytes_spent_until = bytes_until;
            this->processor_spent_until = processor_until;
            this->total_spent.bytes += bytes;
            this->total_spent.processor_time += processor_time;
            return true;
        }
    }
    ++this->refusal_count;
    return false;
}

void budget::set_limit(const allowance& new_allowance, core::time_point now)
{
    validate(new_allowance);
    this->active_allowance = new_allowance;
    this->bytes_spent_until = std::max(this->bytes_spent_until, now);
    this->processor_spent_until = std::max(this->processor_spent_until, now);
}

} // namespace poplarport::measuring
