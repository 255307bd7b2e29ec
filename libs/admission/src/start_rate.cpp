#include "poplarport/admission/start_rate.hpp"

#include <algorithm> // max
#include <chrono>    // duration_cast, seconds

namespace poplarport::admission
{

namespace
{

// The limit counts requests a second, so what one half of a second leaves unused may start in the other.
constexpr std::chrono::seconds burst_time{1};
constexpr double min_per_second = 0.5;

} // namespace

void start_rate::set(std::optional<double> per_second, core::time_point now)
{
    if (!per_second)
    {
        this->start_interval = core::duration::zero();
        return;
    }
    const bool was_unlimited = this->start_interval == core::duration::zero();
    constexpr std::chrono::duration<double> second{1};
    this->start_interval = std::max(
        std::chrono::duration_cast<core::duration>(second / std::max(*per_second, min_per_second)), core::duration{1});
    if (was_unlimited)
    {
        this->empty_until = std::max(this->empty_until, now - this->start_interval);
    }
}

void start_rate::on_started(core::time_point now)
{
    if (this->start_interval > core::duration::zero())
    {
        this->empty_until = this->refilled_since(now) + this->start_interval;
    }
}

core::duration start_rate::wait_for(double count, core::time_point now) const
{
    const auto needed =
        core::duration{static_cast<core::duration::rep>(static_cast<double>(this->start_interval.count()) * count)};
    return std::max(this->refilled_since(now) + needed - now, core::duration::zero());
}

core::time_point start_rate::refilled_since(core::time_point now) const
{
    const auto capacity = std::max<core::duration>(this->start_interval, burst_time);
    return std::max(this->empty_until, now - capacity);
}

} // namespace poplarport::admission
