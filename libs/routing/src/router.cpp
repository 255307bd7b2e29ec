#include "poplarport/routing/router.hpp"

#include "durations.hpp"

#include <algorithm> // max, min, ranges::any_of, ranges::find
#include <cmath>     // pow
#include <stdexcept> // invalid_argument

namespace poplarport::routing
{

namespace
{

// Fraction of the missing confidence in an endpoint's reports that each response restores.
constexpr double confidence_recovery_fraction = 0.01;

// Minimum confidence in its reports with which an endpoint is named as a better peer and its idle hints are used.
constexpr double min_confidence = 0.5;

// Mean load per slot from which idle hints are worth their cost, with full weight on a low measuring cost and with full
// weight on low tail latency.
constexpr double low_cost_hint_load = 1.0;
constexpr double low_latency_hint_load = 0.5;

// Age from which a report may be refreshed by a query with full weight on a low measuring cost, and the ratio to it of
// the age with full weight on low tail latency.
constexpr std::chrono::milliseconds low_cost_probe_age{4000};
constexpr double probe_age_ratio = 1.0 / 64.0;

constexpr std::uint32_t max_failure_doublings = 6;

bool was_tried(const pick_request& request, const endpoint& target)
{
    return std::ranges::find(request.tried, target.id) != request.tried.end();
}

void validate(const router_settings& settings)
{
    constexpr core::duration zero = core::duration::zero();
    const bool has_negative_time =
        settings.zone_cost < zero || settings.hint_lifetime < zero || settings.straggler_flag_duration < zero ||
        settings.straggler_probe_interval < zero || settings.failure_backoff < zero || settings.cold_start_ramp < zero;
    if (has_negative_time)
    {
        throw std::invalid_argument("the durations of a router must not be negative");
    }
    if (settings.assumed_service_time <= zero || settings.assumed_slots == 0)
    {
        throw std::invalid_argument("the assumed slots and the assumed service time must be positive");
    }
    const bool are_weights_valid = settings.tail_latency_weight >= 0.0 && settings.measuring_cost_weight >= 0.0 &&
                                   settings.tail_latency_weight + settings.measuring_cost_weight > 0.0;
    if (!are_weights_valid)
    {
        throw std::invalid_argument("the weights of a router must not be negative or both zero");
    }
}

} // namespace

router::router(router_settings new_settings) : settings(std::move(new_settings)), tail_latency_preference(0.0)
{
    validate(this->settings);
    this->mean_service_time = in_nanoseconds(this->settings.assumed_service_time);
    this->tail_latency_preference = this->settings.tail_latency_weight /
                                    (this->settings.tail_latency_weight + this->settings.measuring_cost_weight);
}

std::optional<choice> router::pick(const pick_request& request, core::time_point now, std::mt19937_64& random_engine)
{
    const bool is_last_resort = !this->collect_candidates(request, now, false, false);
    if (is_last_resort && !this->collect_candidates(request, now, true, false) &&
        !this->collect_candidates(request, now, true, true))
    {
        return std::nullopt;
    }
    // A redirected call is already delayed and is not used to probe a straggler.
    if (state* straggler = request.tried.empty() ? this->due_straggler_probe(now) : nullptr; straggler != nullptr)
    {
        straggler->next_straggler_probe = now + this->settings.straggler_probe_interval;
        straggler->has_straggler_probe = true;
        return choice{straggler->target, pick_reason::straggler_probe, this->expected_wait_of(*straggler, now)};
    }
    state& best = this->best_candidate(now, random_engine);
    const bool is_hinted = best.has_hint && now < best.hint_until;
    best.has_hint = false;
    const pick_reason reason = is_hinted ? pick_reason::idle_hint : pick_reason::score;
    return choice{best.target, is_last_resort ? pick_reason::last_resort : reason, this->expected_wait_of(best, now)};
}

template <typename predicate>
std::optional<choice> router::best_of(const pick_request& request, core::time_point now, std::size_t first,
                                      predicate is_eligible) const
{
    const state* best = nullptr;
    double best_score = 0.0;
    for (std::size_t offset = 0; offset < this->states.size(); ++offset)
    {
        const state& entry = this->states[(first + offset) % this->states.size()];
        const bool is_avoided = entry.is_draining || entry.is_suspect || now < entry.flagged_until ||
                                now < entry.failed_until || was_tried(request, *entry.target);
        if (is_avoided || !is_eligible(entry))
        {
            continue;
        }
        const double score = this->score_of(entry, now);
        if (best == nullptr || score < best_score)
        {
            best = &entry;
            best_score = score;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    const auto slowdown_extra = core::duration{static_cast<core::duration::rep>(this->slowdown_extra_of(*best, now))};
    return choice{best->target, pick_reason::score, this->expected_wait_of(*best, now), this->slowdown_of(*best, now),
                  slowdown_extra};
}

std::optional<choice> router::best_peer(const pick_request& request, core::time_point now) const
{
    return this->best_of(request, now, 0,
                         [](const state& entry)
                         { return entry.report.slots > 0 && entry.report_confidence >= min_confidence; });
}

std::optional<choice> router::best_unreported_peer(const pick_request& request, core::time_point now,
                                                   std::mt19937_64& random_engine) const
{
    if (this->states.empty())
    {
        return std::nullopt;
    }
    const auto first = std::uniform_int_distribution<std::size_t>{0, this->states.size() - 1}(random_engine);
    return this->best_of(request, now, first, [](const state& entry) { return entry.report.slots == 0; });
}

std::optional<core::duration> router::min_expected_wait(core::time_point now) const
{
    std::optional<core::duration> result;
    for (const state& entry : this->states)
    {
        if (!entry.is_draining && !entry.is_suspect && now >= entry.failed_until)
        {
            const auto wait = this->expected_wait_of(entry, now);
            result = result ? std::min(*result, wait) : wait;
        }
    }
    return result;
}

bool router::is_hint_useful(const core::load_report& local_report, core::time_point now) const noexcept
{
    if (local_report.draining || local_report.queued > 0 || local_report.in_flight >= local_report.slots ||
        this->states.empty())
    {
        return false;
    }
    double sum = 0.0;
    for (const state& entry : this->states)
    {
        sum += this->load_of(entry, now) / this->slots_of(entry, now);
    }
    const double mean = sum / static_cast<double>(this->states.size());
    const double min_mean_load =
        low_cost_hint_load + (low_latency_hint_load - low_cost_hint_load) * this->tail_latency_preference;
    return mean >= min_mean_load && static_cast<double>(local_report.in_flight) / local_report.slots < mean;
}

void router::on_redirected(std::string_view id, core::time_point now)
{
    if (state* found = this->find(id); found != nullptr)
    {
        found->redirected = this->decayed_redirects(*found, now) + 1.0;
        found->redirected_at = now;
    }
}

std::error_code router::no_endpoint_reason(const pick_request& request) const noexcept
{
    if (this->states.empty())
    {
        return make_error_code(errors::no_endpoint_known);
    }
    const auto is_untried = [&request](const state& entry)
    {
        return !was_tried(request, *entry.target);
    };
    const bool has_untried = std::ranges::any_of(this->states, is_untried);
    return make_error_code(has_untried ? errors::all_endpoints_draining : errors::all_endpoints_tried);
}

std::shared_ptr<const endpoint> router::next_probe(core::time_point now)
{
    const double age = in_nanoseconds(low_cost_probe_age) * std::pow(probe_age_ratio, this->tail_latency_preference);
    const auto min_age = core::duration{static_cast<core::duration::rep>(age)};
    state* oldest = nullptr;
    for (state& entry : this->states)
    {
        const core::time_point updated_at = std::max(entry.reported_at, entry.probed_at);
        const bool is_due = !entry.is_draining && now - updated_at >= min_age;
        if (is_due && (oldest == nullptr || updated_at < std::max(oldest->reported_at, oldest->probed_at)))
        {
            oldest = &entry;
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
    ++found->responses;
    found->report_confidence += confidence_recovery_fraction * (1.0 - found->report_confidence);
    found->failures = 0;
    found->failed_until = {};
    if (report)
    {
        this->store_report(*found, *report, now);
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
        this->store_report(*found, *report, now);
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
    // Calls that fail together, for example when a connection is lost, count as one failure.
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
        this->store_report(*found, report, now);
        this->update_flag(*found, now);
    }
}

void router::on_slowdown_notice(std::string_view id, std::uint32_t slowdown_percent, core::time_point now)
{
    if (state* found = this->find(id); found != nullptr)
    {
        found->report.slowdown_percent = slowdown_percent;
        found->slowdown_reported_at = now;
        this->update_typical_slowdown(now);
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
    const state* const found = this->find(id);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    return report_view{found->report, now - found->reported_at, static_cast<std::size_t>(found->in_flight())};
}

bool router::is_flagged(std::string_view id, core::time_point now) const
{
    const state* const found = this->find(id);
    return found != nullptr && now < found->flagged_until;
}

bool router::collect_candidates(const pick_request& request, core::time_point now, bool include_flagged,
                                bool include_failed)
{
    this->candidates.clear();
    for (state& entry : this->states)
    {
        const bool has_failed = entry.is_suspect || now < entry.failed_until;
        const bool is_avoided = (!include_flagged && now < entry.flagged_until) || (!include_failed && has_failed);
        if (!entry.is_draining && !is_avoided && !was_tried(request, *entry.target))
        {
            this->candidates.push_back(&entry);
        }
    }
    return !this->candidates.empty();
}

router::state& router::best_candidate(core::time_point now, std::mt19937_64& random_engine)
{
    const std::size_t count = this->candidates.size();
    const std::size_t first = std::uniform_int_distribution<std::size_t>{0, count - 1}(random_engine);
    state* best = this->candidates[first];
    double best_score = this->score_of(*best, now);
    const auto consider = [&](state& entry)
    {
        const double score = this->score_of(entry, now);
        if (score < best_score)
        {
            best = &entry;
            best_score = score;
        }
    };
    if (this->settings.compares_all)
    {
        for (state* entry : this->candidates)
        {
            consider(*entry);
        }
    }
    else if (count > 1)
    {
        const std::size_t offset = std::uniform_int_distribution<std::size_t>{1, count - 1}(random_engine);
        consider(*this->candidates[(first + offset) % count]);
    }
    for (state* entry : this->candidates)
    {
        if (entry->has_hint && now < entry->hint_until)
        {
            consider(*entry);
        }
    }
    return *best;
}

router::state* router::due_straggler_probe(core::time_point now)
{
    for (state& entry : this->states)
    {
        const bool is_idle =
            !entry.is_draining && !entry.is_suspect && now >= entry.failed_until && entry.in_flight() == 0;
        if (is_idle && now < entry.flagged_until && now >= entry.next_straggler_probe)
        {
            return &entry;
        }
    }
    return nullptr;
}

} // namespace poplarport::routing
