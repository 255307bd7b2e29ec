#include "poplarport/standins/platform/platform_faults.hpp"

namespace poplarport::standins
{

void limited_fault::start(std::optional<std::uint64_t> count, std::optional<core::time_point> end) noexcept
{
    this->is_started = true;
    this->remaining_calls = count;
    this->end_time = end;
}

void limited_fault::clear() noexcept
{
    this->is_started = false;
}

bool limited_fault::consume(core::time_point now) noexcept
{
    if (!this->is_active(now))
    {
        return false;
    }
    if (this->remaining_calls.has_value())
    {
        --*this->remaining_calls;
    }
    return true;
}

bool limited_fault::is_active(core::time_point now) const noexcept
{
    return this->is_started && (!this->remaining_calls.has_value() || *this->remaining_calls > 0) &&
           (!this->end_time.has_value() || now < *this->end_time);
}

} // namespace poplarport::standins
