#include "poplarport/admission/start_window.hpp"

#include <algorithm> // max, min
#include <chrono>    // seconds
#include <cmath>     // ceil, floor

namespace poplarport::admission
{

namespace
{

constexpr std::chrono::seconds window{1};

// Bounds the memory. A limit above this number of starts a second is not needed by any upstream that is cold.
constexpr std::size_t max_recorded_starts = 4096;

} // namespace

void start_window::set_limit(std::optional<double> per_second, double first_second)
{
    this->limit.reset();
    this->first_second_limit = static_cast<std::size_t>(std::max(std::floor(first_second), 0.0));
    if (per_second)
    {
        const double bounded = std::min(std::floor(*per_second), static_cast<double>(max_recorded_starts));
        this->limit = static_cast<std::size_t>(std::max(bounded, 1.0));
    }
}

void start_window::on_started(core::time_point now)
{
    while (!this->starts.empty() &&
           (this->starts.front() + window <= now || this->starts.size() >= max_recorded_starts))
    {
        this->starts.pop_front();
    }
    this->starts.push_back(now);
}

core::duration start_window::wait_for(double count, core::time_point now) const
{
    if (!this->limit)
    {
        return core::duration::zero();
    }
    const auto first = std::ranges::upper_bound(this->starts, now - window);
    const auto recent = static_cast<std::size_t>(this->starts.end() - first);
    const auto wanted = static_cast<std::size_t>(std::max(std::ceil(count), 1.0));
    const auto first_second_left = std::max<core::duration>(this->created_at + window - now, core::duration::zero());
    const auto initial_wait =
        this->may_start_in_first_second(recent, wanted) ? core::duration::zero() : first_second_left;
    if (recent + wanted <= *this->limit)
    {
        return initial_wait;
    }
    // So many of the starts, recent ones first and then those of the requests before this one, must leave the window.
    const std::size_t leaving = recent + wanted - *this->limit;
    if (leaving <= recent)
    {
        const auto leaves_at = *(first + static_cast<std::ptrdiff_t>(leaving - 1)) + window;
        return std::max<core::duration>(leaves_at - now, initial_wait);
    }
    const auto later_windows = static_cast<core::duration::rep>((leaving - recent - 1) / *this->limit);
    return std::max<core::duration>(initial_wait, core::duration{window}) + core::duration{window} * later_windows;
}

core::duration start_window::interval() const noexcept
{
    return this->limit ? core::duration{window} / static_cast<core::duration::rep>(*this->limit)
                       : core::duration::zero();
}

} // namespace poplarport::admission
