#include "poplarport/admission/gate.hpp"

#include <algorithm> // clamp, max, min, ranges::any_of
#include <cmath>     // floor
#include <stdexcept> // invalid_argument

namespace poplarport::admission
{

namespace
{

// Number of finished requests that the service time estimate covers. A smaller number follows a slowdown faster but
// makes the estimated wait, and thus the refusals, noisier. After a tenfold slowdown with 9 busy slots, an average over
// 8 requests reaches half of the new service time within 60 ms; over 16, not a quarter of it within 40 ms.
constexpr double averaged_requests = 8.0;

// One slot in this many may run requests whose deadline is unreachable according to the estimate.
constexpr std::uint32_t exploring_slots_divisor = 4;

// Fraction of the slots that a cold upstream uses initially.
constexpr double initial_slot_fraction = 0.1;

limits validate(limits checked_limits)
{
    const auto is_invalid = [](const auto& entry)
    {
        return !(entry.second > 0.0);
    };
    if (checked_limits.slots == 0)
    {
        throw std::invalid_argument("an admission gate must have at least one slot");
    }
    if (std::ranges::any_of(checked_limits.tenant_weights, is_invalid) ||
        std::ranges::any_of(checked_limits.class_weights, is_invalid))
    {
        throw std::invalid_argument("the weights of tenants and classes must be positive");
    }
    return checked_limits;
}

decision refused(errors reason)
{
    return {action::refuse, make_error_code(reason), std::nullopt};
}

} // namespace

gate::gate(limits initial_limits, core::duration initial_service_time, core::duration ramp_duration,
           core::time_point now)
    : active_limits(validate(std::move(initial_limits))), ramp(ramp_duration), built_at(now),
      queue(this->active_limits.tenant_weights, this->active_limits.class_weights),
      service_time(initial_service_time, averaged_requests, now), recent_starts(now)
{
}

decision gate::offer(ticket offered, core::time_point now)
{
    if (this->is_draining)
    {
        return refused(errors::draining);
    }
    if (this->running.contains(offered.id) || this->queue.contains(offered.id))
    {
        return refused(errors::duplicate_request);
    }
    if (offered.deadline <= now && !this->active_limits.deadline_bounds_start)
    {
        return refused(errors::deadline_passed);
    }
    const core::duration wait = this->expected_wait(offered, now);
    if (!this->meets_deadline(offered.deadline, now + wait, now))
    {
        return refused(errors::deadline_unreachable);
    }
    if (this->queue.size() == 0 && this->can_start(now))
    {
        this->start(offered, now);
        return {action::admit};
    }
    if (offered.best_peer_wait && *offered.best_peer_wait < wait)
    {
        return refused(errors::better_peer);
    }
    return this->enqueue(std::move(offered));
}

changes gate::release(const core::request_id& id, core::duration upstream_duration, core::time_point now)
{
    changes result;
    const auto found = this->running.find(id);
    if (found != this->running.end())
    {
        // The estimate covers the time of the upstream, without the time for which a slow caller occupied the slot.
        const core::duration slot_time = now - found->second.started_at;
        this->service_time.on_finished(now, upstream_duration - slot_time);
        this->remove_running(id);
        this->fill_slots(result, now);
    }
    return result;
}

changes gate::cancel(const core::request_id& id, core::time_point now)
{
    changes result;
    if (this->running.contains(id))
    {
        this->service_time.on_abandoned(now);
        this->remove_running(id);
        this->fill_slots(result, now);
    }
    else
    {
        this->queue.erase(id);
    }
    return result;
}

changes gate::expire(core::time_point now)
{
    changes result;
    this->refuse_due(result, now);
    this->fill_slots(result, now);
    return result;
}

changes gate::set_limits(limits new_limits, core::time_point now)
{
    this->active_limits = validate(std::move(new_limits));
    this->queue.set_weights(this->active_limits.tenant_weights, this->active_limits.class_weights);
    return this->expire(now);
}

changes gate::set_max_start_rate(std::optional<double> per_second, core::time_point now)
{
    this->max_start_rate.set(per_second, now);
    return this->expire(now);
}

changes gate::set_cold_limit(std::optional<double> per_second, double first_second, core::time_point now)
{
    this->recent_starts.set_limit(per_second, first_second);
    return this->expire(now);
}

void gate::drain() noexcept
{
    this->is_draining = true;
}

std::vector<refusal> gate::refuse_queued()
{
    std::vector<refusal> result;
    while (const std::optional<ticket> next = this->queue.pop())
    {
        result.push_back({next->id, make_error_code(errors::draining)});
    }
    return result;
}

core::load_report gate::load(core::time_point now) const
{
    core::load_report report;
    const auto mean_service_time = this->service_time.estimate(now);
    report.slots = this->concurrency_limit(now);
    if (const auto interval = this->min_start_interval(); interval > core::duration::zero())
    {
        // At this rate, so many requests run at the same time on average.
        const auto permitted =
            static_cast<std::uint32_t>(std::min<core::duration::rep>(mean_service_time / interval, report.slots));
        report.slots = std::max(permitted, 1U);
    }
    report.in_flight = static_cast<std::uint32_t>(this->running.size());
    if (!this->permits_start(now))
    {
        report.in_flight = std::max(report.in_flight, report.slots);
    }
    report.queued = static_cast<std::uint32_t>(this->queue.size());
    report.service_time = std::chrono::duration_cast<std::chrono::microseconds>(mean_service_time);
    report.draining = this->is_draining;
    return report;
}

core::duration gate::expected_wait(const ticket& offered, core::time_point now) const
{
    const std::uint32_t limit = this->concurrency_limit(now);
    const double starts_before = this->queue.count_ahead_of(offered) + 1.0;
    const auto rate_wait =
        std::max(this->max_start_rate.wait_for(starts_before, now), this->recent_starts.wait_for(starts_before, now));
    if (this->queue.size() == 0 && this->running.size() < limit)
    {
        return rate_wait;
    }
    const double excess_requests = static_cast<double>(this->running.size()) - static_cast<double>(limit);
    const double start_interval = static_cast<double>(this->service_time.estimate(now).count()) / limit;
    const double slot_wait = (starts_before + std::max(excess_requests, 0.0)) * start_interval;
    return std::max(core::duration{static_cast<core::duration::rep>(slot_wait)}, rate_wait);
}

bool gate::can_start(core::time_point now) const
{
    return this->running.size() < this->concurrency_limit(now) && this->permits_start(now);
}

bool gate::permits_start(core::time_point now) const
{
    return this->max_start_rate.may_start(now) && this->recent_starts.may_start(now);
}

std::uint32_t gate::concurrency_limit(core::time_point now) const noexcept
{
    if (this->ramp <= core::duration::zero() || now >= this->built_at + this->ramp)
    {
        return this->active_limits.slots;
    }
    const double elapsed_fraction =
        static_cast<double>((now - this->built_at).count()) / static_cast<double>(this->ramp.count());
    const double fraction = std::clamp(initial_slot_fraction + (1.0 - initial_slot_fraction) * elapsed_fraction,
                                       initial_slot_fraction, 1.0);
    return std::max(1U, static_cast<std::uint32_t>(std::floor(fraction * this->active_limits.slots)));
}

// A fraction of the slots is used regardless of the estimate, because only requests that run can correct an outdated
// estimate.
bool gate::meets_deadline(core::time_point deadline, core::time_point start, core::time_point now) const
{
    if (this->active_limits.deadline_bounds_start)
    {
        return start <= deadline || start <= now;
    }
    return this->has_exploration_capacity(now) || start + this->service_time.estimate(now) <= deadline;
}

bool gate::has_exploration_capacity(core::time_point now) const noexcept
{
    return this->running.size() < std::max(1U, this->concurrency_limit(now) / exploring_slots_divisor);
}

void gate::start(const ticket& admitted, core::time_point now)
{
    this->queue.charge(admitted.tenant, admitted.traffic_class);
    this->running.emplace(admitted.id, running_request{admitted.tenant, now});
    this->service_time.on_started(now);
    this->max_start_rate.on_started(now);
    this->recent_starts.on_started(now);
}

void gate::remove_running(const core::request_id& id)
{
    const auto found = this->running.find(id);
    this->queue.on_ended(found->second.tenant);
    this->running.erase(found);
}

decision gate::enqueue(ticket offered)
{
    decision result{action::queue};
    if (this->queue.size() >= this->active_limits.queue_capacity)
    {
        const double share =
            this->queue.share(offered.tenant) * static_cast<double>(this->active_limits.queue_capacity);
        if (static_cast<double>(this->queue.size(offered.tenant)) + 1.0 > share)
        {
            const bool tenant_fills_queue = this->queue.size(offered.tenant) == this->queue.size();
            return refused(tenant_fills_queue ? errors::queue_full : errors::tenant_over_share);
        }
        std::optional<ticket> displaced = this->queue.displace_for(offered.tenant);
        if (!displaced)
        {
            return refused(errors::queue_full);
        }
        result.displaced = refusal{std::move(displaced->id), make_error_code(errors::tenant_over_share)};
    }
    this->queue.push(std::move(offered));
    return result;
}

void gate::refuse_due(changes& result, core::time_point now)
{
    const bool ignores_service_time = this->active_limits.deadline_bounds_start || this->has_exploration_capacity(now);
    const core::duration needed_time = ignores_service_time ? core::duration::zero() : this->service_time.estimate(now);
    for (const ticket& due : this->queue.remove_due_before(now + needed_time))
    {
        const errors reason = due.deadline <= now ? errors::deadline_passed : errors::deadline_unreachable;
        result.refused.push_back({due.id, make_error_code(reason)});
    }
}

void gate::fill_slots(changes& result, core::time_point now)
{
    while (this->can_start(now))
    {
        const std::optional<ticket> next = this->queue.pop();
        if (!next)
        {
            return;
        }
        if (next->deadline <= now)
        {
            result.refused.push_back({next->id, make_error_code(errors::deadline_passed)});
        }
        else if (!this->meets_deadline(next->deadline, now, now))
        {
            result.refused.push_back({next->id, make_error_code(errors::deadline_unreachable)});
        }
        else
        {
            this->start(*next, now);
            result.started.push_back(next->id);
        }
    }
}

} // namespace poplarport::admission
