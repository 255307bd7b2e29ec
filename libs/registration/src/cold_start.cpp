#include "poplarport/registration/cold_start.hpp"

#include <algorithm> // clamp, max
#include <chrono>    // milliseconds

namespace poplarport::registration
{

namespace
{

// After the cold time the limit doubles once in each step. It ends after the last one, where it is 16 times as high, in
// the order of what a warm upstream takes.
constexpr std::chrono::milliseconds warm_up_step{250};
constexpr int warm_up_steps = 4;

} // namespace

void cold_start::on_status_check(core::duration remaining, core::time_point now)
{
    // An upstream that has been warm before it said so is past its warm-up, too.
    if (remaining > core::duration::zero() || this->cold_until > now)
    {
        this->cold_until = this->end_of(remaining, now);
    }
}

void cold_start::on_heartbeat(core::duration remaining, core::time_point now)
{
    if (remaining > core::duration::zero())
    {
        this->cold_until = std::max(this->cold_until, this->end_of(remaining, now));
    }
}

std::optional<double> cold_start::limit(core::time_point now) const noexcept
{
    if (!this->has_limit() || this->cold_until == core::time_point::min())
    {
        return std::nullopt;
    }
    if (now < this->cold_until)
    {
        return this->rules.requests_per_second;
    }
    const auto steps = (now - this->cold_until) / core::duration{warm_up_step} + 1;
    if (steps > warm_up_steps)
    {
        return std::nullopt;
    }
    return *this->rules.requests_per_second * static_cast<double>(1U << static_cast<unsigned>(steps));
}

core::time_point cold_start::end_of(core::duration remaining, core::time_point now) const
{
    return now + std::clamp(remaining, core::duration::zero(), std::max(this->rules.max_cold_time, core::duration{0}));
}

} // namespace poplarport::registration
