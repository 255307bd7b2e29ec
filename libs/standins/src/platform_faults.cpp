#include "poplarport/standins/platform/platform_faults.hpp"

namespace poplarport::standins
{

void limited_fault::start(std::optional<std::uint64_t> count, std::optional<core::time_point> end) noexcept
{
    this->is_started = true;
    this->remaining = count;
    this->until = end;
}

void limited_fault::clear() noexcept
{
    this->is_started = false;
}

bool limited_fault::take(core::time_point now) noexcept
{
    if (!this->is_active(now))
    {
        return false;
    }
    if (this->remaining.has_value())
    {
        --*this->remaining;
    }
    return true;
}

bool limited_fault::is_active(core::time_point now) const noexcept
{
    return this->is_started && (!this->remaining.has_value() || *this->remaining > 0) &&
           (!this->until.has_value() || now < *this->until);
}

} // namespace poplarport::standins
