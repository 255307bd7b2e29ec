#include "poplarport/routing/router.hpp"

#include <algorithm> // nth_element

#include "durations.hpp"

namespace poplarport::routing
{

namespace
{

// Answered calls that are needed before an endpoint is marked by its latency.
constexpr std::uint32_t min_responses = 4;

// A median over fewer endpoints does not tell which of them is the slow one.
constexpr std::size_t least_endpoints_for_median = 3;

// A straggler's latency is this many times the median: from the first value with a full preference for a low cost of
// measuring to the second with a full preference for low tail latency. An average of 8 exponential times exceeds twice
// its mean once in 100 times, so a factor of 2 marks healthy endpoints and overloads the others.
constexpr double lazy_straggler_factor = 5.0;
constexpr double eager_straggler_factor = 3.0;

constexpr std::uint32_t max_flag_doublings = 3;

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

void router::update_flag(state& value, core::time_point now)
{
    if (now < value.flagged_until)
    {
        return;
    }
    const double typical_service_time = this->median_service_time();
    const double typical_latency = this->median_latency(now);
    const double factor = this->straggler_factor();
    const double service_time = in_nanoseconds(value.report.service_time);
    const double latency = in_nanoseconds(value.latency.estimate(now));
    const bool has_evidence = value.answers >= min_responses;
    const bool is_slow_upstream = typical_service_time > 0.0 && service_time > factor * typical_service_time;
    const bool is_slow_path = has_evidence && typical_latency > 0.0 && latency > factor * typical_latency;
    if (!is_slow_upstream && !is_slow_path)
    {
        value.flag_count = has_evidence ? 0 : value.flag_count;
        return;
    }
    value.flagged_until = now + doubled(this->settings.straggler_flag_duration, value.flag_count, max_flag_doublings);
    value.next_straggler_probe = now + this->settings.straggler_probe_interval;
    value.has_straggler_probe = false;
    value.has_hint = false;
    value.answers = 0;
    value.latency.reset(this->settings.assumed_service_time, now);
    ++value.flag_count;
}

// A trial is the only own call in flight, so its latency is not that of a call from before the mark.
void router::end_straggler_probe(state& value, core::duration latency, core::time_point now)
{
    value.has_straggler_probe = false;
    const double factor = this->straggler_factor();
    const double typical_service_time = this->median_service_time();
    const double typical_latency = this->median_latency(now);
    const double service_time = in_nanoseconds(value.report.service_time);
    const bool is_slow_upstream = typical_service_time > 0.0 && service_time > factor * typical_service_time;
    const double path = in_nanoseconds(latency - value.network_latency);
    const bool is_slow_path = typical_latency > 0.0 && path > factor * typical_latency;
    if (!is_slow_upstream && !is_slow_path)
    {
        value.flagged_until = now;
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
                        { return item.answers >= min_responses ? in_nanoseconds(item.latency.estimate(now)) : 0.0; });
}

} // namespace poplarport::routing
