#include "poplarport/routing/router.hpp"

#include <algorithm> // clamp, max, min
#include <cmath>     // exp

#include "durations.hpp"

namespace poplarport::routing
{

namespace
{

// Part of its slots that a cold endpoint is counted with at first.
constexpr double cold_fraction = 0.1;

// Service times for which a redirected call counts as load. With one, receivers with late reports name the same peer
// again before the reports show the calls.
constexpr int redirect_memory = 4;

// Returns the load in the newest report that other senders caused.
double others_of(const detail::endpoint_state& value)
{
    const double reported = static_cast<double>(value.report.in_flight) + value.report.queued;
    return std::max(0.0, reported - value.local_calls_at_report);
}

// A report of a slow VM holds for this long. Its end is told at once; this covers a notice that is lost.
constexpr std::chrono::milliseconds slowdown_lifetime{1500};

} // namespace

double router::slots_of(const state& value, core::time_point now) const noexcept
{
    const double reported = value.report.slots > 0 ? value.report.slots : this->settings.assumed_slots;
    const core::duration age = now - value.added_at;
    if (!value.is_cold || age >= this->settings.cold_start_ramp)
    {
        return reported;
    }
    const double passed = in_nanoseconds(age) / in_nanoseconds(this->settings.cold_start_ramp);
    const double fraction = std::clamp(cold_fraction + (1.0 - cold_fraction) * passed, cold_fraction, 1.0);
    // The receiver's own ramp already lowers the reported slots, so the two ramps are not multiplied.
    return std::min(reported, fraction * this->settings.assumed_slots);
}

double router::service_time_of(const state& value) const noexcept
{
    const core::duration reported = value.report.service_time;
    return reported > core::duration::zero() ? in_nanoseconds(reported) : this->mean_service_time;
}

// The calls that made up a load have mostly ended after one service time, so what is known of it fades at that rate.
double router::remaining(core::duration age, const state& value) const noexcept
{
    return std::exp(-std::max(0.0, in_nanoseconds(age)) / this->service_time_of(value));
}

double router::redirected_to(const state& value, core::time_point now) const noexcept
{
    return value.redirected * this->remaining((now - value.redirected_at) / redirect_memory, value);
}

double router::load_of(const state& value, core::time_point now) const noexcept
{
    const double confidence =
        value.report.slots > 0 ? value.report_confidence * this->remaining(now - value.reported_at, value) : 0.0;
    // An outdated report says as much as the other endpoints' reports: its load tends to the mean, not to zero.
    const double typical = this->mean_load * this->slots_of(value, now);
    const double others = confidence * others_of(value) + (1.0 - confidence) * typical;
    return value.in_flight() + this->redirected_to(value, now) + others;
}

double router::score_of(const state& value, core::time_point now) const noexcept
{
    const double utilisation = (this->load_of(value, now) + 1.0) / this->slots_of(value, now);
    return utilisation * this->service_time_of(value) + this->slowdown_of(value, now) + this->network_latency_of(value);
}

core::duration router::wait_of(const state& value, core::time_point now) const noexcept
{
    const double slots = this->slots_of(value, now);
    const double excess = std::max(0.0, this->load_of(value, now) + 1.0 - slots);
    const double wait = excess / slots * this->service_time_of(value) + this->slowdown_of(value, now) +
                        in_nanoseconds(value.network_latency);
    return core::duration{static_cast<core::duration::rep>(wait)};
}

// A request that starts on a slow VM takes longer by this much.
double router::slowdown_of(const state& value, core::time_point now) const noexcept
{
    constexpr double usual_percent = 100.0;
    const double excess = static_cast<double>(value.report.slowdown_percent) / usual_percent - 1.0;
    const bool is_recent = now - value.slowdown_reported_at < slowdown_lifetime;
    return is_recent ? std::max(excess, 0.0) * this->service_time_of(value) : 0.0;
}

double router::network_latency_of(const state& value) const noexcept
{
    const bool is_remote = value.network_latency > core::duration::zero();
    return in_nanoseconds(value.network_latency) +
           (is_remote ? this->settings.zone_preference * this->service_time_of(value) : 0.0);
}

void router::take_report(state& value, const core::load_report& report, core::time_point now)
{
    value.report = report;
    value.reported_at = now;
    value.slowdown_reported_at = now;
    value.local_calls_at_report = value.in_flight();
    value.is_draining = value.is_draining || report.draining;
    this->update_means();
}

// A refusal by an endpoint that seemed to have free slots shows that its reports are late or wrong. The square keeps
// the trust at high load, where a slot that seemed free is often taken meanwhile.
void router::lower_confidence(state& value, core::time_point now) noexcept
{
    const double seemed_free = 1.0 - this->load_of(value, now) / this->slots_of(value, now);
    const double surprise = std::clamp(seemed_free, 0.0, 1.0);
    value.report_confidence *= 1.0 - surprise * surprise;
}

void router::update_means() noexcept
{
    double load = 0.0;
    double service_time = 0.0;
    double count = 0.0;
    for (const state& item : this->states)
    {
        if (item.report.slots > 0 && !item.is_draining)
        {
            load += others_of(item) / item.report.slots;
            service_time += in_nanoseconds(item.report.service_time);
            count += 1.0;
        }
    }
    const bool is_known = count > 0.0 && service_time > 0.0;
    this->mean_load = count > 0.0 ? load / count : 0.0;
    this->mean_service_time = is_known ? service_time / count : in_nanoseconds(this->settings.assumed_service_time);
}

} // namespace poplarport::routing
