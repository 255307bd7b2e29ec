#include "poplarport/routing/router.hpp"

#include "durations.hpp"

#include <algorithm> // max, min, ranges::any_of, ranges::find, ranges::lower_bound, ranges::sort
#include <cmath>     // pow
#include <stdexcept> // invalid_argument

namespace poplarport::routing
{

namespace
{

// Answered calls that the latency estimate covers.
constexpr double latency_memory = 8.0;

// Part of the missing trust in an endpoint's reports that each answer restores.
constexpr double confidence_regained = 0.01;

// An endpoint is named as a better peer, and its idle hints count, only from this trust in its reports.
constexpr double min_confidence = 0.5;

// Mean load per slot from which idle hints are worth their cost, with a full preference for a low cost of measuring and
// with a full preference for low tail latency.
constexpr double lazy_hint_load = 1.0;
constexpr double eager_hint_load = 0.5;

// Age of a report from which a message may ask for a new one, for the same two preferences.
constexpr std::chrono::milliseconds lazy_probe_age{4000};
constexpr double probe_age_ratio = 1.0 / 64.0;

constexpr std::uint32_t max_failure_doublings = 6;

bool was_tried(const pick_request& request, const endpoint& value)
{
    return std::ranges::find(request.tried, value.id) != request.tried.end();
}

void check(const router_settings& value)
{
    constexpr core::duration zero = core::duration::zero();
    const bool has_negative_time = value.zone_cost < zero || value.hint_lifetime < zero ||
                                   value.straggler_flag_duration < zero || value.straggler_probe_interval < zero ||
                                   value.failure_backoff < zero || value.cold_start_ramp < zero;
    if (has_negative_time)
    {
        throw std::invalid_argument("the times of a router must not be negative");
    }
    if (value.assumed_service_time <= zero || value.assumed_slots == 0)
    {
        throw std::invalid_argument("the assumed slots and the assumed service time must be positive");
    }
    const bool are_weights_valid = value.tail_latency_weight >= 0.0 && value.measuring_cost_weight >= 0.0 &&
                                   value.tail_latency_weight + value.measuring_cost_weight > 0.0;
    if (!are_weights_valid)
    {
        throw std::invalid_argument("the weights of a router must not be negative, nor both zero");
    }
}

} // namespace

router::router(router_settings value) : settings(std::move(value)), preference(0.0)
{
    check(this->settings);
    this->mean_service_time = in_nanoseconds(this->settings.assumed_service_time);
    this->preference = this->settings.tail_latency_weight /
                       (this->settings.tail_latency_weight + this->settings.measuring_cost_weight);
}

void router::set_endpoints(std::vector<endpoint> endpoints, core::time_point now)
{
    std::ranges::sort(endpoints, {}, &endpoint::id);
    std::vector<state> next;
    next.reserve(endpoints.size());
    for (endpoint& item : endpoints)
    {
        const auto target = std::make_shared<const endpoint>(std::move(item));
        state* known = this->find(target->id);
        if (known == nullptr || known->target->incarnation != target->incarnation)
        {
            next.push_back(this->make_state(target, now));
            continue;
        }
        known->is_draining = known->is_draining || target->draining;
        known->target = target;
        next.push_back(*known);
    }
    this->states = std::move(next);
    this->has_list = true;
    this->candidates.reserve(this->states.size());
    this->scratch.reserve(this->states.size());
}

std::optional<choice> router::pick(const pick_request& request, core::time_point now, std::mt19937_64& random)
{
    const bool is_last_resort = !this->collect(request, now, false, false);
    if (is_last_resort && !this->collect(request, now, true, false) && !this->collect(request, now, true, true))
    {
        return std::nullopt;
    }
    // A redirected call has already lost time and is not used to try a straggler.
    if (state* trial = request.tried.empty() ? this->due_straggler_probe(now) : nullptr; trial != nullptr)
    {
        trial->next_straggler_probe = now + this->settings.straggler_probe_interval;
        trial->has_straggler_probe = true;
        return choice{trial->target, pick_reason::straggler_probe, this->wait_of(*trial, now)};
    }
    state& best = this->best_candidate(now, random);
    const bool by_hint = best.has_hint && now < best.hint_until;
    best.has_hint = false;
    const pick_reason reason = by_hint ? pick_reason::idle_hint : pick_reason::score;
    return choice{best.target, is_last_resort ? pick_reason::last_resort : reason, this->wait_of(best, now)};
}

std::optional<choice> router::best_peer(const pick_request& request, core::time_point now) const
{
    const state* best = nullptr;
    for (const state& item : this->states)
    {
        const bool is_known = item.report.slots > 0 && item.report_confidence >= min_confidence && !item.is_draining;
        const bool is_avoided = now < item.flagged_until || now < item.failed_until || was_tried(request, *item.target);
        if (is_known && !is_avoided && (best == nullptr || this->score_of(item, now) < this->score_of(*best, now)))
        {
            best = &item;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return choice{best->target, pick_reason::score, this->wait_of(*best, now)};
}

bool router::is_hint_useful(const core::load_report& own, core::time_point now) const noexcept
{
    if (own.draining || own.queued > 0 || own.in_flight >= own.slots || this->states.empty())
    {
        return false;
    }
    double sum = 0.0;
    for (const state& item : this->states)
    {
        sum += this->load_of(item, now) / this->slots_of(item, now);
    }
    const double mean = sum / static_cast<double>(this->states.size());
    const double busy = lazy_hint_load + (eager_hint_load - lazy_hint_load) * this->preference;
    return mean >= busy && static_cast<double>(own.in_flight) / own.slots < mean;
}

void router::on_redirected(std::string_view id, core::time_point now)
{
    if (state* found = this->find(id); found != nullptr)
    {
        found->redirected = this->redirected_to(*found, now) + 1.0;
        found->redirected_at = now;
    }
}

std::error_code router::no_endpoint_reason(const pick_request& request) const noexcept
{
    if (this->states.empty())
    {
        return make_error_code(errors::no_endpoint_known);
    }
    const auto is_left = [&request](const state& item)
    {
        return !was_tried(request, *item.target);
    };
    const bool some_left = std::ranges::any_of(this->states, is_left);
    return make_error_code(some_left ? errors::all_endpoints_draining : errors::all_endpoints_tried);
}

std::shared_ptr<const endpoint> router::next_probe(core::time_point now)
{
    const double age = in_nanoseconds(lazy_probe_age) * std::pow(probe_age_ratio, this->preference);
    const auto least_age = core::duration{static_cast<core::duration::rep>(age)};
    state* oldest = nullptr;
    for (state& item : this->states)
    {
        const core::time_point known_at = std::max(item.reported_at, item.probed_at);
        const bool is_due = !item.is_draining && now - known_at >= least_age;
        if (is_due && (oldest == nullptr || known_at < std::max(oldest->reported_at, oldest->probed_at)))
        {
            oldest = &item;
        }
    }
    if (oldest == nullptr)
    {
        return nullptr;
    }
    oldest->probed_at = now;
    return oldest->target;
}

void router::on_sent(std::string_view id, core::time_point now)
{
    if (state* found = this->find(id); found != nullptr)
    {
        found->latency.on_started(now);
    }
}

void router::on_response(std::string_view id, const std::optional<core::load_report>& report, core::duration latency,
                         core::time_point now)
{
    state* found = this->find(id);
    if (found == nullptr)
    {
        return;
    }
    found->latency.on_finished(now, -found->network_latency);
    ++found->answers;
    found->report_confidence += confidence_regained * (1.0 - found->report_confidence);
    found->failures = 0;
    found->failed_until = {};
    if (report)
    {
        this->take_report(*found, *report, now);
    }
    if (found->has_straggler_probe)
    {
        this->end_straggler_probe(*found, latency, now);
    }
    this->update_flag(*found, now);
}

void router::on_refused(std::string_view id, const std::optional<core::load_report>& report, core::time_point now)
{
    state* found = this->find(id);
    if (found == nullptr)
    {
        return;
    }
    found->latency.on_abandoned(now);
    found->failures = 0;
    found->failed_until = {};
    found->has_straggler_probe = false;
    this->lower_confidence(*found, now);
    if (report)
    {
        this->take_report(*found, *report, now);
    }
}

void router::on_failed(std::string_view id, core::time_point now)
{
    state* found = this->find(id);
    if (found == nullptr)
    {
        return;
    }
    found->latency.on_abandoned(now);
    found->has_hint = false;
    found->has_straggler_probe = false;
    // Calls that fail together, as when a connection breaks, are one failure.
    if (now >= found->failed_until)
    {
        found->failed_until = now + doubled(this->settings.failure_backoff, found->failures, max_failure_doublings);
        ++found->failures;
    }
}

void router::on_cancelled(std::string_view id, core::time_point now)
{
    if (state* found = this->find(id); found != nullptr)
    {
        found->latency.on_abandoned(now);
        found->has_straggler_probe = false;
    }
}

void router::on_report(std::string_view id, const core::load_report& report, core::time_point now)
{
    if (state* found = this->find(id); found != nullptr)
    {
        this->take_report(*found, report, now);
        this->update_flag(*found, now);
    }
}

void router::on_slowdown_notice(std::string_view id, std::uint32_t slowdown_percent, core::time_point now)
{
    if (state* found = this->find(id); found != nullptr)
    {
        found->report.slowdown_percent = slowdown_percent;
        found->slowdown_reported_at = now;
    }
}

void router::on_idle_hint(std::string_view id, std::uint32_t free_slots, core::time_point now)
{
    state* found = this->find(id);
    if (found == nullptr || free_slots == 0 || found->report_confidence < min_confidence)
    {
        return;
    }
    found->has_hint = true;
    found->hint_until = now + this->settings.hint_lifetime;
    if (found->report.slots >= free_slots)
    {
        found->report.in_flight = found->report.slots - free_slots;
        found->report.queued = 0;
        found->reported_at = now;
        found->local_calls_at_report = found->in_flight();
        this->update_means();
    }
}

std::optional<report_view> router::report_of(std::string_view id, core::time_point now) const
{
    const auto found =
        std::ranges::find(this->states, id, [](const state& item) { return std::string_view{item.target->id}; });
    if (found == this->states.end())
    {
        return std::nullopt;
    }
    return report_view{found->report, now - found->reported_at, static_cast<std::size_t>(found->in_flight())};
}

bool router::is_flagged(std::string_view id, core::time_point now) const
{
    const auto found =
        std::ranges::find(this->states, id, [](const state& item) { return std::string_view{item.target->id}; });
    return found != this->states.end() && now < found->flagged_until;
}

router::state* router::find(std::string_view id) noexcept
{
    const auto name = [](const state& item)
    {
        return std::string_view{item.target->id};
    };
    const auto found = std::ranges::lower_bound(this->states, id, {}, name);
    return found != this->states.end() && name(*found) == id ? &*found : nullptr;
}

router::state router::make_state(std::shared_ptr<const endpoint> target, core::time_point now) const
{
    const bool is_local_zone = target->availability_zone == this->settings.availability_zone;
    const bool is_draining = target->draining;
    state value{.target = std::move(target),
                .network_latency = is_local_zone ? core::duration::zero() : this->settings.zone_cost,
                .added_at = now,
                .is_cold = this->has_list,
                .is_draining = is_draining,
                .report = {},
                .reported_at = {},
                .slowdown_reported_at = {},
                .latency = {this->settings.assumed_service_time, latency_memory, now},
                .redirected_at = {},
                .hint_until = {},
                .flagged_until = {},
                .next_straggler_probe = {},
                .failed_until = {},
                .probed_at = {}};
    return value;
}

bool router::collect(const pick_request& request, core::time_point now, bool with_flagged, bool with_failed)
{
    this->candidates.clear();
    for (state& item : this->states)
    {
        const bool is_avoided =
            (!with_flagged && now < item.flagged_until) || (!with_failed && now < item.failed_until);
        if (!item.is_draining && !is_avoided && !was_tried(request, *item.target))
        {
            this->candidates.push_back(&item);
        }
    }
    return !this->candidates.empty();
}

router::state& router::best_candidate(core::time_point now, std::mt19937_64& random)
{
    const std::size_t count = this->candidates.size();
    const std::size_t first = std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
    state* best = this->candidates[first];
    double best_score = this->score_of(*best, now);
    const auto consider = [&](state& item)
    {
        const double score = this->score_of(item, now);
        if (score < best_score)
        {
            best = &item;
            best_score = score;
        }
    };
    if (this->settings.compares_all)
    {
        for (state* item : this->candidates)
        {
            consider(*item);
        }
    }
    else if (count > 1)
    {
        const std::size_t offset = std::uniform_int_distribution<std::size_t>{1, count - 1}(random);
        consider(*this->candidates[(first + offset) % count]);
    }
    for (state* item : this->candidates)
    {
        if (item->has_hint && now < item->hint_until)
        {
            consider(*item);
        }
    }
    return *best;
}

router::state* router::due_straggler_probe(core::time_point now)
{
    for (state& item : this->states)
    {
        const bool is_free = !item.is_draining && now >= item.failed_until && item.in_flight() == 0;
        if (is_free && now < item.flagged_until && now >= item.next_straggler_probe)
        {
            return &item;
        }
    }
    return nullptr;
}

} // namespace poplarport::routing
