#include "poplarport/attempts/call.hpp"

#include <algorithm> // any_of, find, min
#include <cassert>   // assert

namespace poplarport::attempts
{

namespace
{

bool upstream_not_reached(const attempt_event& event, const attempt_result& result)
{
    const auto* const refusal = std::get_if<refused>(&event);
    return result.outcome == core::outcome::not_run &&
           (refusal == nullptr || refusal->proof != refusal_proof::upstream_shed);
}

} // namespace

call::call(const call_request& request_properties, const call_limits& attempt_limits, retry_budget& service_budget)
    : request(request_properties), limits(attempt_limits), budget(&service_budget)
{
}

call_actions call::start(core::time_point now)
{
    assert(this->attempts.empty());
    call_actions actions;
    if (now >= this->request.deadline)
    {
        this->end_call(core::outcome::not_run, error::deadline_passed, error::deadline_passed, actions);
        return actions;
    }
    this->budget->on_call(now);
    if (this->request.repeatable && this->request.hedge_delay)
    {
        this->hedge_due = now + *this->request.hedge_delay;
    }
    actions.emplace_back(start_attempt{this->add_attempt(now, std::nullopt)});
    return actions;
}

void call::on_endpoint_selected(const core::node_id& endpoint)
{
    if (std::ranges::find(this->tried_endpoints, endpoint) == this->tried_endpoints.end())
    {
        this->tried_endpoints.push_back(endpoint);
    }
}

void call::on_body_discarded() noexcept
{
    this->body_buffered = false;
}

call_actions call::on_event(attempt_id id, const attempt_event& event, core::time_point now, std::mt19937_64& random)
{
    call_actions actions;
    if (id >= this->attempts.size())
    {
        ++this->ignored_events;
        return actions;
    }
    const bool was_responding = this->attempts[id].current() == attempt::state::responding;
    const auto result = this->attempts[id].handle(event);
    if (this->is_finished)
    {
        return actions;
    }
    if (!was_responding && this->attempts[id].current() == attempt::state::responding)
    {
        this->on_response_header(id, actions);
    }
    if (result)
    {
        // The receiver may still be processing an attempt that ended only at the sender.
        if (std::holds_alternative<local_timeout>(event) || std::holds_alternative<cancelled>(event))
        {
            actions.emplace_back(cancel_attempt{id});
        }
        this->on_ended(event, *result, now, random, actions);
    }
    return actions;
}

call_actions call::on_cancelled()
{
    call_actions actions;
    if (this->is_finished)
    {
        return actions;
    }
    this->end_remaining(std::nullopt, cancelled{}, actions);
    this->end_call(this->overall_outcome(), error::cancelled_by_caller, {}, actions);
    return actions;
}

call_actions call::tick(core::time_point now)
{
    call_actions actions;
    if (this->is_finished)
    {
        return actions;
    }
    if (now >= this->request.deadline)
    {
        this->end_remaining(std::nullopt, local_timeout{}, actions);
        const auto code = this->attempts.back().result()->code;
        this->end_call(this->overall_outcome(), code, error::deadline_passed, actions);
        return actions;
    }
    this->start_pending(now, actions);
    this->start_due_hedge(now, actions);
    return actions;
}

std::optional<core::time_point> call::next_wakeup() const
{
    if (this->is_finished)
    {
        return std::nullopt;
    }
    auto next = this->request.deadline;
    if (this->pending)
    {
        next = std::min(next, this->pending->due);
    }
    if (this->hedge_due && this->any_in_progress())
    {
        next = std::min(next, *this->hedge_due);
    }
    return next;
}

std::uint64_t call::late_events() const noexcept
{
    std::uint64_t sum = this->ignored_events;
    for (const attempt& each : this->attempts)
    {
        sum += each.late_events();
    }
    return sum;
}

start_parameters call::add_attempt(core::time_point now, std::optional<core::node_id> preferred_endpoint)
{
    start_parameters parameters;
    parameters.attempt = static_cast<attempt_id>(this->attempts.size());
    parameters.excluded = this->tried_endpoints;
    parameters.preferred_endpoint = std::move(preferred_endpoint);
    parameters.time_left = this->request.deadline - now;
    parameters.attempt_number = this->request.attempt_number + this->extra_attempts;
    parameters.depth = this->request.depth;
    this->attempts.emplace_back();
    if (this->hedge_due)
    {
        this->hedge_due = now + *this->request.hedge_delay;
    }
    return parameters;
}

std::error_code call::check_attempt_allowed(core::time_point now) const
{
    if (this->responding_attempt)
    {
        return error::head_already_forwarded;
    }
    if (!this->request.repeatable && this->overall_outcome() != core::outcome::not_run)
    {
        return error::not_repeatable;
    }
    if (!this->body_buffered)
    {
        return error::body_not_replayable;
    }
    if (this->request.deadline - now < this->limits.minimum_time_left)
    {
        return error::deadline_passed;
    }
    return {};
}

std::error_code call::check_retry_allowed(core::time_point now) const
{
    if (const auto reason = this->check_attempt_allowed(now))
    {
        return reason;
    }
    if (this->request.depth > this->limits.depth)
    {
        return error::depth_limit;
    }
    if (this->request.attempt_number + this->extra_attempts >= this->limits.attempts)
    {
        return error::attempt_limit;
    }
    return {};
}

std::optional<core::node_id> call::find_untried(const std::vector<core::node_id>& candidates) const
{
    const auto is_untried = [this](const core::node_id& id)
    {
        return std::ranges::find(this->tried_endpoints, id) == this->tried_endpoints.end();
    };
    const auto found = std::ranges::find_if(candidates, is_untried);
    return found == candidates.end() ? std::nullopt : std::optional{*found};
}

core::duration call::retry_delay(std::mt19937_64& random) const
{
    // The first retry is sent to another endpoint immediately. Later ones wait for a random delay, because failures
    // at several endpoints indicate overload.
    if (this->extra_attempts <= 1)
    {
        return core::duration::zero();
    }
    constexpr std::uint32_t max_shift = 10;
    const auto shift = std::min(this->extra_attempts - 2, max_shift);
    const auto max_delay_ns = this->limits.backoff.count() * (std::int64_t{1} << shift);
    return core::duration{std::uniform_int_distribution<std::int64_t>{0, max_delay_ns}(random)};
}

bool call::any_in_progress() const
{
    const auto in_progress = [](const attempt& each)
    {
        return !each.result();
    };
    return std::ranges::any_of(this->attempts, in_progress);
}

core::outcome call::overall_outcome() const
{
    const auto is_not_run = [](const attempt& each)
    {
        return each.result() && each.result()->outcome == core::outcome::not_run;
    };
    return std::ranges::all_of(this->attempts, is_not_run) ? core::outcome::not_run : core::outcome::unknown;
}

void call::on_response_header(attempt_id id, call_actions& actions)
{
    this->responding_attempt = id;
    this->hedge_due.reset();
    this->pending.reset();
    this->end_remaining(id, hedge_lost{}, actions);
    actions.emplace_back(forward_response_header{id});
}

void call::on_ended(const attempt_event& event, const attempt_result& result, core::time_point now,
                    std::mt19937_64& random, call_actions& actions)
{
    if (result.outcome == core::outcome::answered)
    {
        this->end_call(core::outcome::answered, {}, {}, actions);
        return;
    }
    if (this->any_in_progress())
    {
        return;
    }
    if (const auto reason = this->check_attempt_allowed(now))
    {
        this->end_call(this->overall_outcome(), result.code, reason, actions);
        return;
    }
    if (result.code == error::no_endpoint)
    {
        this->end_call(this->overall_outcome(), result.code, {}, actions);
        return;
    }
    const auto* refusal = std::get_if<refused>(&event);
    const auto better = refusal != nullptr ? this->find_untried(refusal->better_peers) : std::nullopt;
    const bool redirect_permitted = this->limits.redirects_after_shed || upstream_not_reached(event, result);
    if (better && !this->free_redirect_used && redirect_permitted)
    {
        this->free_redirect_used = true;
        actions.emplace_back(start_attempt{this->add_attempt(now, better)});
        return;
    }
    if (this->free_retries_used < this->limits.free_retries && upstream_not_reached(event, result))
    {
        ++this->free_retries_used;
        actions.emplace_back(start_attempt{this->add_attempt(now, better)});
        return;
    }
    auto reason = this->check_retry_allowed(now);
    if (!reason && !this->budget->try_spend(now))
    {
        reason = error::budget_exhausted;
    }
    if (reason)
    {
        this->end_call(this->overall_outcome(), result.code, reason, actions);
        return;
    }
    ++this->extra_attempts;
    this->pending = pending_start{now + this->retry_delay(random), better};
    this->start_pending(now, actions);
}

void call::end_remaining(std::optional<attempt_id> kept, const attempt_event& event, call_actions& actions)
{
    for (attempt_id id = 0; id < this->attempts.size(); ++id)
    {
        if (id == kept || this->attempts[id].result())
        {
            continue;
        }
        this->attempts[id].handle(event);
        actions.emplace_back(cancel_attempt{id});
    }
}

void call::end_call(core::outcome outcome, std::error_code code, std::error_code stopped_by, call_actions& actions)
{
    assert(!this->is_finished);
    this->is_finished = true;
    this->pending.reset();
    this->hedge_due.reset();
    actions.emplace_back(finish{outcome, code, stopped_by});
}

void call::start_pending(core::time_point now, call_actions& actions)
{
    if (!this->pending || now < this->pending->due)
    {
        return;
    }
    const auto preferred_endpoint = this->pending->preferred_endpoint;
    this->pending.reset();
    // Since the retry was scheduled, the body may have been discarded or the remaining time may have become too short.
    if (const auto reason = this->check_attempt_allowed(now))
    {
        this->end_call(this->overall_outcome(), this->attempts.back().result()->code, reason, actions);
        return;
    }
    actions.emplace_back(start_attempt{this->add_attempt(now, preferred_endpoint)});
}

void call::start_due_hedge(core::time_point now, call_actions& actions)
{
    if (this->is_finished || !this->hedge_due || now < *this->hedge_due || !this->any_in_progress())
    {
        return;
    }
    this->hedge_due.reset();
    if (this->check_retry_allowed(now) || !this->budget->try_spend(now, this->limits.hedge_budget_fraction))
    {
        return;
    }
    ++this->extra_attempts;
    actions.emplace_back(start_hedge{this->add_attempt(now, std::nullopt)});
}

} // namespace poplarport::attempts
