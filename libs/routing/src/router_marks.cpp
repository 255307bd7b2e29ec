#include "poplarport/routing/router.hpp"

#include <algorithm> // nth_element

#include "durations.hpp"

namespace poplarport::routing
{

namespace
{

// Answered calls that are needed before an endpoint is marked by its latency.
constexpr std::uint32_t least_answers = 4;

// A median over fewer endpoints does not tell which of them is the slow one.
constexpr std::size_t least_endpoints_for_median = 3;

// A straggler's latency is this many times the median: from the first value with a full preference for a low cost of
// measuring to the second with a full preference for low tail latency.
constexpr double lazy_straggler_factor = 4.0;
constexpr double eager_straggler_factor = 2.0;

constexpr std::uint32_t greatest_mark_doublings = 3;

} // namespace

template <typename measure>
double router::median(measure of)
{
    this->scratch.clear();
    for (const state& item : this->states)
    {
        if (const double value = of(item); value > 0.0)
        {
            this->scratch.push_back(value);
        }
    }
    if (this->scratch.size() < least_endpoints_for_median)
    {
        return 0.0;
    }
    const auto middle = this->scratch.begin() + static_cast<std::ptrdiff_t>(this->scratch.size() / 2);
    std::nth_element(this->scratch.begin(), middle, this->scratch.end());
    return *middle;
}

void router::update_mark(state& value, core::time_point now)
{
    if (now < value.marked_until)
    {
        return;
    }
    const double typical_service_time = this->median_service_time();
    const double typical_latency = this->median_latency(now);
    const double factor = this->straggler_factor();
    const double service_time = in_nanoseconds(value.report.service_time);
    const double latency = in_nanoseconds(value.latency.estimate(now));
    const bool has_evidence = value.answers >= least_answers;
    const bool is_slow_upstream = typical_service_time > 0.0 && service_time > factor * typical_service_time;
    const bool is_slow_path = has_evidence && typical_latency > 0.0 && latency > factor * typical_latency;
    if (!is_slow_upstream && !is_slow_path)
    {
        value.marks = has_evidence ? 0 : value.marks;
        return;
    }
    value.marked_until = now + doubled(this->settings.straggler_mark, value.marks, greatest_mark_doublings);
    value.next_trial = now + this->settings.straggler_trial;
    value.has_trial = false;
    value.has_hint = false;
    value.answers = 0;
    value.latency.reset(this->settings.assumed_service_time, now);
    ++value.marks;
}

// A trial is the only own call in flight, so its latency is not that of a call from before the mark.
void router::end_trial(state& value, core::duration latency, core::time_point now)
{
    value.has_trial = false;
    const double factor = this->straggler_factor();
    const double typical_service_time = this->median_service_time();
    const double typical_latency = this->median_latency(now);
    const double service_time = in_nanoseconds(value.report.service_time);
    const bool is_slow_upstream = typical_service_time > 0.0 && service_time > factor * typical_service_time;
    const double path = in_nanoseconds(latency - value.travel);
    const bool is_slow_path = typical_latency > 0.0 && path > factor * typical_latency;
    if (!is_slow_upstream && !is_slow_path)
    {
        value.marked_until = now;
    }
}

double router::straggler_factor() const noexcept
{
    return lazy_straggler_factor + (eager_straggler_factor - lazy_straggler_factor) * this->preference;
}

double router::median_service_time()
{
    return this->median([](const state& item) { return in_nanoseconds(item.report.service_time); });
}

double router::median_latency(core::time_point now)
{
    return this->median([now](const state& item)
                        { return item.answers >= least_answers ? in_nanoseconds(item.latency.estimate(now)) : 0.0; });
}

} // namespace poplarport::routing
