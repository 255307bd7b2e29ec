#include "poplarport/routing/router.hpp"

#include <algorithm> // nth_element

#include "durations.hpp"

namespace poplarport::routing
{

namespace
{

// Minimum number of responses before an endpoint is flagged for its latency.
constexpr std::uint32_t min_responses = 4;

// A median of fewer endpoints does not show which of them is slow.
constexpr std::size_t min_endpoints_for_median = 3;

// Ratio to the median above which an endpoint is a straggler, with full weight on a low measuring cost and with full
// weight on low tail latency. An average of 8 exponentially distributed times exceeds twice its mean once in 100 times,
// so a factor of 2 would flag healthy endpoints and overload the remaining ones.
constexpr double low_cost_straggler_factor = 5.0;
constexpr double low_latency_straggler_factor = 3.0;

constexpr std::uint32_t max_flag_doublings = 3;

} // namespace

template <typename metric>
double router::median(metric metric_of)
{
    this->scratch.clear();
    for (const state& entry : this->states)
    {
        if (const double sample = metric_of(entry); sample > 0.0)
        {
            this->scratch.push_back(sample);
        }
    }
    if (this->scratch.size() < min_endpoints_for_median)
    {
        return 0.0;
    }
    const auto middle = this->scratch.begin() + static_cast<std::ptrdiff_t>(this->scratch.size() / 2);
    std::nth_element(this->scratch.begin(), middle, this->scratch.end());
    return *middle;
}

void router::update_flag(state& entry, core::time_point now)
{
    if (now < entry.flagged_until)
    {
        return;
    }
    const double typical_service_time = this->median_service_time();
    const double typical_latency = this->median_latency(now);
    const double factor = this->straggler_factor();
    const double service_time = in_nanoseconds(entry.report.service_time);
    const double latency = in_nanoseconds(entry.latency.estimate(now));
    const bool has_enough_responses = entry.responses >= min_responses;
    const bool has_slow_service = typical_service_time > 0.0 && service_time > factor * typical_service_time;
    const bool has_slow_responses = has_enough_responses && typical_latency > 0.0 && latency > factor * typical_latency;
    if (!has_slow_service && !has_slow_responses)
    {
        entry.flag_count = has_enough_responses ? 0 : entry.flag_count;
        return;
    }
    entry.flagged_until = now + doubled(this->settings.straggler_flag_duration, entry.flag_count, max_flag_doublings);
    entry.next_straggler_probe = now + this->settings.straggler_probe_interval;
    entry.has_straggler_probe = false;
    entry.has_hint = false;
    entry.responses = 0;
    entry.latency.reset(this->settings.assumed_service_time, now);
    ++entry.flag_count;
}

// A probe is the only local call in flight, so the latency is not that of a call sent before the endpoint was flagged.
void router::end_straggler_probe(state& entry, core::duration latency, core::time_point now)
{
    entry.has_straggler_probe = false;
    const double factor = this->straggler_factor();
    const double typical_service_time = this->median_service_time();
    const double typical_latency = this->median_latency(now);
    const double service_time = in_nanoseconds(entry.report.service_time);
    const bool has_slow_service = typical_service_time > 0.0 && service_time > factor * typical_service_time;
    const double endpoint_latency = in_nanoseconds(latency - entry.network_latency);
    const bool has_slow_responses = typical_latency > 0.0 && endpoint_latency > factor * typical_latency;
    if (!has_slow_service && !has_slow_responses)
    {
        entry.flagged_until = now;
    }
}

double router::straggler_factor() const noexcept
{
    return low_cost_straggler_factor +
           (low_latency_straggler_factor - low_cost_straggler_factor) * this->tail_latency_preference;
}

double router::median_service_time()
{
    return this->median([](const state& entry) { return in_nanoseconds(entry.report.service_time); });
}

double router::median_latency(core::time_point now)
{
    return this->median(
        [now](const state& entry)
        { return entry.responses >= min_responses ? in_nanoseconds(entry.latency.estimate(now)) : 0.0; });
}

} // namespace poplarport::routing
