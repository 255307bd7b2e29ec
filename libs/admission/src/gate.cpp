#include "poplarport/admission/gate.hpp"

#include <algorithm> // clamp, max, ranges::any_of
#include <cmath>     // floor
#include <stdexcept> // invalid_argument

namespace poplarport::admission
{

namespace
{

// Finished requests that the service time estimate covers. Fewer react sooner to a slowdown but make the estimate of
// the wait, and with it the refusals, noisier. After a tenfold slowdown of 9 busy slots, 8 reach half of the new
// service time in 60 ms; 16 do not reach a quarter of it in 40 ms.
constexpr double estimator_memory = 8.0;

// One in so many slots may run requests whose deadline the estimate calls unreachable.
constexpr std::uint32_t exploring_slots_divisor = 4;

// Part of the slots that a cold upstream gets at once.
constexpr double cold_fraction = 0.1;

limits checked(limits value)
{
    const auto is_invalid = [](const auto& item)
    {
        return !(item.second > 0.0);
    };
    if (value.slots == 0)
    {
        throw std::invalid_argument("an admission gate needs at least one slot");
    }
    if (std::ranges::any_of(value.tenant_weights, is_invalid) || std::ranges::any_of(value.class_weights, is_invalid))
    {
        throw std::invalid_argument("the weights of tenants and classes must be positive");
    }
    return value;
}

decision refused(errors reason)
{
    return {action::refuse, make_error_code(reason), std::nullopt};
}

} // namespace

gate::gate(limits value, core::duration initial_service_time, core::duration ramp_length, core::time_point now)
    : configured(checked(std::move(value))), ramp(ramp_length), built_at(now),
      queue(this->configured.tenant_weights, this->configured.class_weights),
      service_time(initial_service_time, estimator_memory, now)
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
    if (offered.deadline <= now && !this->configured.deadline_bounds_start)
    {
        return refused(errors::deadline_passed);
    }
    const core::duration wait = this->expected_wait(offered, now);
    if (!this->can_finish(offered.deadline, now + wait, now))
    {
        return refused(errors::deadline_unreachable);
    }
    if (this->queue.size() == 0 && this->running.size() < this->concurrency_limit(now))
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

changes gate::release(const core::request_id& id, core::duration upstream_time, core::time_point now)
{
    changes result;
    const auto found = this->running.find(id);
    if (found != this->running.end())
    {
        // The estimate covers the upstream's time, not the time for which a slow caller held the slot.
        const core::duration held = now - found->second.started_at;
        this->service_time.on_finished(now, upstream_time - held);
        this->end(id);
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
        this->end(id);
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

changes gate::set_limits(limits value, core::time_point now)
{
    this->configured = checked(std::move(value));
    this->queue.set_weights(this->configured.tenant_weights, this->configured.class_weights);
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
    report.slots = this->concurrency_limit(now);
    report.in_flight = static_cast<std::uint32_t>(this->running.size());
    report.queued = static_cast<std::uint32_t>(this->queue.size());
    report.service_time = std::chrono::duration_cast<std::chrono::microseconds>(this->service_time.estimate(now));
    report.draining = this->is_draining;
    return report;
}

core::duration gate::expected_wait(const ticket& offered, core::time_point now) const
{
    const std::uint32_t limit = this->concurrency_limit(now);
    if (this->queue.size() == 0 && this->running.size() < limit)
    {
        return core::duration::zero();
    }
    const double excess = static_cast<double>(this->running.size()) - static_cast<double>(limit);
    const double starts_before = this->queue.ahead_of(offered) + std::max(excess, 0.0) + 1.0;
    const double one_start = static_cast<double>(this->service_time.estimate(now).count()) / limit;
    return core::duration{static_cast<core::duration::rep>(starts_before * one_start)};
}

std::uint32_t gate::concurrency_limit(core::time_point now) const noexcept
{
    if (this->ramp <= core::duration::zero() || now >= this->built_at + this->ramp)
    {
        return this->configured.slots;
    }
    const double passed = static_cast<double>((now - this->built_at).count()) / static_cast<double>(this->ramp.count());
    const double fraction = std::clamp(cold_fraction + (1.0 - cold_fraction) * passed, cold_fraction, 1.0);
    return std::max(1U, static_cast<std::uint32_t>(std::floor(fraction * this->configured.slots)));
}

// Part of the slots is used whatever the estimate says, because an outdated estimate is corrected only by requests that
// run.
bool gate::can_finish(core::time_point deadline, core::time_point start, core::time_point now) const
{
    if (this->configured.deadline_bounds_start)
    {
        return start <= deadline || start <= now;
    }
    return this->is_exploring(now) || start + this->service_time.estimate(now) <= deadline;
}

bool gate::is_exploring(core::time_point now) const noexcept
{
    return this->running.size() < std::max(1U, this->concurrency_limit(now) / exploring_slots_divisor);
}

void gate::start(const ticket& value, core::time_point now)
{
    this->queue.charge(value.tenant, value.traffic_class);
    this->running.emplace(value.id, running_request{value.tenant, now});
    this->service_time.on_started(now);
}

void gate::end(const core::request_id& id)
{
    const auto found = this->running.find(id);
    this->queue.on_ended(found->second.tenant);
    this->running.erase(found);
}

decision gate::enqueue(ticket offered)
{
    decision result{action::queue};
    if (this->queue.size() >= this->configured.queue_capacity)
    {
        const double share = this->queue.share(offered.tenant) * static_cast<double>(this->configured.queue_capacity);
        if (static_cast<double>(this->queue.size(offered.tenant)) + 1.0 > share)
        {
            const bool is_alone = this->queue.size(offered.tenant) == this->queue.size();
            return refused(is_alone ? errors::queue_full : errors::tenant_over_share);
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
    const bool is_zero = this->configured.deadline_bounds_start || this->is_exploring(now);
    const core::duration needed = is_zero ? core::duration::zero() : this->service_time.estimate(now);
    for (const ticket& value : this->queue.take_due_before(now + needed))
    {
        const errors reason = value.deadline <= now ? errors::deadline_passed : errors::deadline_unreachable;
        result.refused.push_back({value.id, make_error_code(reason)});
    }
}

void gate::fill_slots(changes& result, core::time_point now)
{
    const std::uint32_t limit = this->concurrency_limit(now);
    while (this->running.size() < limit)
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
        else if (!this->can_finish(next->deadline, now, now))
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
