#include "poplarport/routing/router.hpp"

#include <algorithm> // clamp, max, min, ranges::nth_element
#include <cmath>     // exp
#include <cstddef>   // ptrdiff_t

#include "durations.hpp"

namespace poplarport::routing
{

namespace
{

// Fraction of the assumed slots with which a cold endpoint starts.
constexpr double initial_cold_fraction = 0.1;

// Time constant, in service times, with which redirected calls decay. With one service time, receivers whose reports
// are delayed name the same better peer again before the reports include the redirected calls.
constexpr int redirect_decay_service_times = 4;

// Returns the load in the newest report that is due to other senders.
double load_from_other_senders(const detail::endpoint_state& entry)
{
    const double reported = static_cast<double>(entry.report.in_flight) + entry.report.queued;
    return std::max(0.0, reported - entry.local_calls_at_report);
}

// Validity of a reported slowdown. The end of a slowdown is notified immediately; the limit covers a lost notice.
constexpr std::chrono::milliseconds slowdown_lifetime{1500};

// Age up to which a reported slowdown counts for the typical one.
constexpr std::chrono::seconds typical_slowdown_window{3};

constexpr double normal_percent = 100.0;

} // namespace

double router::slots_of(const state& entry, core::time_point now) const noexcept
{
    const double reported = entry.report.slots > 0 ? entry.report.slots : this->settings.assumed_slots;
    const core::duration age = now - entry.added_at;
    if (!entry.is_cold || age >= this->settings.cold_start_ramp)
    {
        return reported;
    }
    const double elapsed_fraction = in_nanoseconds(age) / in_nanoseconds(this->settings.cold_start_ramp);
    const double fraction = std::clamp(initial_cold_fraction + (1.0 - initial_cold_fraction) * elapsed_fraction,
                                       initial_cold_fraction, 1.0);
    // The reported slots already include the ramp of the receiver, so the two ramps are not multiplied.
    return std::min(reported, fraction * this->settings.assumed_slots);
}

double router::service_time_of(const state& entry) const noexcept
{
    const core::duration reported = entry.report.service_time;
    return reported > core::duration::zero() ? in_nanoseconds(reported) : this->mean_service_time;
}

// Most calls that contributed to a load have ended after one service time, so information about it decays at that rate.
double router::decay_factor(core::duration age, const state& entry) const noexcept
{
    return std::exp(-std::max(0.0, in_nanoseconds(age)) / this->service_time_of(entry));
}

double router::decayed_redirects(const state& entry, core::time_point now) const noexcept
{
    return entry.redirected * this->decay_factor((now - entry.redirected_at) / redirect_decay_service_times, entry);
}

double router::load_of(const state& entry, core::time_point now) const noexcept
{
    const double confidence =
        entry.report.slots > 0 ? entry.report_confidence * this->decay_factor(now - entry.reported_at, entry) : 0.0;
    // The estimate from an outdated report converges to the mean load of all endpoints, not to zero.
    const double mean_endpoint_load = this->mean_load * this->slots_of(entry, now);
    const double load_from_peers =
        confidence * load_from_other_senders(entry) + (1.0 - confidence) * mean_endpoint_load;
    return entry.in_flight() + this->decayed_redirects(entry, now) + load_from_peers;
}

double router::score_of(const state& entry, core::time_point now) const noexcept
{
    const double utilisation = (this->load_of(entry, now) + 1.0) / this->slots_of(entry, now);
    return utilisation * this->service_time_of(entry) + this->slowdown_extra_of(entry, now) +
           this->network_latency_of(entry);
}

core::duration router::expected_wait_of(const state& entry, core::time_point now) const noexcept
{
    const double slots = this->slots_of(entry, now);
    const double excess = std::max(0.0, this->load_of(entry, now) + 1.0 - slots);
    const double wait = excess / slots * this->service_time_of(entry) + this->slowdown_extra_of(entry, now) +
                        in_nanoseconds(entry.network_latency);
    return core::duration{static_cast<core::duration::rep>(wait)};
}

// Without a recent report the typical slowdown is assumed: after a restart of all upstreams, every one of them is slow
// for some seconds.
double router::slowdown_of(const state& entry, core::time_point now) const noexcept
{
    const bool is_recent = now - entry.slowdown_reported_at < slowdown_lifetime;
    return is_recent ? static_cast<double>(entry.report.slowdown_percent) / normal_percent : this->typical_slowdown;
}

// Returns the extra service time, in nanoseconds, of a request that starts on a slowed VM.
double router::slowdown_extra_of(const state& entry, core::time_point now) const noexcept
{
    return std::max(this->slowdown_of(entry, now) - 1.0, 0.0) * this->service_time_of(entry);
}

double router::network_latency_of(const state& entry) const noexcept
{
    const bool is_remote = entry.network_latency > core::duration::zero();
    return in_nanoseconds(entry.network_latency) +
           (is_remote ? this->settings.zone_preference * this->service_time_of(entry) : 0.0);
}

void router::store_report(state& entry, const core::load_report& report, core::time_point now)
{
    entry.report = report;
    entry.reported_at = now;
    entry.slowdown_reported_at = now;
    entry.local_calls_at_report = entry.in_flight();
    entry.is_draining = entry.is_draining || report.draining;
    this->update_means();
    this->update_typical_slowdown(now);
}

// A refusal by an endpoint that appeared to have free slots shows that its reports are delayed or wrong. The square
// preserves the confidence at high load, where a slot that appeared free is often occupied by the time a call arrives.
void router::lower_confidence(state& entry, core::time_point now) noexcept
{
    const double apparent_free_fraction = 1.0 - this->load_of(entry, now) / this->slots_of(entry, now);
    const double prediction_error = std::clamp(apparent_free_fraction, 0.0, 1.0);
    entry.report_confidence *= 1.0 - prediction_error * prediction_error;
}

// The median, because a quarter of the VMs may be slowed by their neighbours at any time.
void router::update_typical_slowdown(core::time_point now)
{
    this->scratch.clear();
    for (const state& entry : this->states)
    {
        if (entry.slowdown_reported_at != core::time_point{} &&
            now - entry.slowdown_reported_at < typical_slowdown_window)
        {
            this->scratch.push_back(static_cast<double>(entry.report.slowdown_percent) / normal_percent);
        }
    }
    if (this->scratch.empty())
    {
        this->typical_slowdown = 1.0;
        return;
    }
    // The lower one of two middle values.
    const auto middle = this->scratch.begin() + static_cast<std::ptrdiff_t>((this->scratch.size() - 1) / 2);
    std::ranges::nth_element(this->scratch, middle);
    this->typical_slowdown = *middle;
}

void router::update_means() noexcept
{
    double load = 0.0;
    double service_time = 0.0;
    double count = 0.0;
    for (const state& entry : this->states)
    {
        if (entry.report.slots > 0 && !entry.is_draining)
        {
            load += load_from_other_senders(entry) / entry.report.slots;
            service_time += in_nanoseconds(entry.report.service_time);
            count += 1.0;
        }
    }
    const bool has_service_time = count > 0.0 && service_time > 0.0;
    this->mean_load = count > 0.0 ? load / count : 0.0;
    this->mean_service_time =
        has_service_time ? service_time / count : in_nanoseconds(this->settings.assumed_service_time);
}

} // namespace poplarport::routing
