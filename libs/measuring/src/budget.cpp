#include "poplarport/measuring/budget.hpp"

#include <algorithm> // max
#include <cmath>     // ceil
#include <optional>  // optional, nullopt
#include <stdexcept> // invalid_argument

namespace poplarport::measuring
{

namespace
{

void check(const allowance& value)
{
    if (value.window <= std::chrono::nanoseconds::zero())
    {
        throw std::invalid_argument("the window of a measuring budget must be positive");
    }
    if (value.burst < std::chrono::nanoseconds::zero())
    {
        throw std::invalid_argument("the burst of a measuring budget must not be negative");
    }
    if (value.per_window.processor_time < std::chrono::nanoseconds::zero())
    {
        throw std::invalid_argument("the processor time of a measuring budget must not be negative");
    }
}

// Returns how long the grant needs to cover the amount, or nothing when that is longer than one burst.
std::optional<core::duration> time_to_grant(long double amount, long double per_window, const allowance& value)
{
    if (amount <= 0)
    {
        return core::duration::zero();
    }
    if (per_window <= 0)
    {
        return std::nullopt;
    }
    const long double span = std::ceil(amount * static_cast<long double>(value.window.count()) / per_window);
    if (span > static_cast<long double>(value.burst.count()))
    {
        return std::nullopt;
    }
    return std::chrono::nanoseconds{static_cast<std::chrono::nanoseconds::rep>(span)};
}

} // namespace

budget::budget(const allowance& value, core::time_point now)
    : granted(value), bytes_spent_until(now), processor_spent_until(now)
{
    check(value);
}

bool budget::try_spend(std::uint64_t bytes, std::chrono::nanoseconds processor_time, core::time_point now) noexcept
{
    const auto byte_span = time_to_grant(static_cast<long double>(bytes),
                                         static_cast<long double>(this->granted.per_window.bytes), this->granted);
    const auto processor_span =
        time_to_grant(static_cast<long double>(processor_time.count()),
                      static_cast<long double>(this->granted.per_window.processor_time.count()), this->granted);
    if (byte_span && processor_span)
    {
        const core::time_point oldest = now - this->granted.burst;
        const core::time_point bytes_until = std::max(this->bytes_spent_until, oldest) + *byte_span;
        const core::time_point processor_until = std::max(this->processor_spent_until, oldest) + *processor_span;
        if (bytes_until <= now && processor_until <= now)
        {
            this->bytes_spent_until = bytes_until;
            this->processor_spent_until = processor_until;
            this->total.bytes += bytes;
            this->total.processor_time += processor_time;
            return true;
        }
    }
    ++this->refusals;
    return false;
}

void budget::set_limit(const allowance& value, core::time_point now)
{
    check(value);
    this->granted = value;
    this->bytes_spent_until = std::max(this->bytes_spent_until, now);
    this->processor_spent_until = std::max(this->processor_spent_until, now);
}

} // namespace poplarport::measuring
