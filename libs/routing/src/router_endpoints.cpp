#include <algorithm> // ranges::lower_bound, ranges::sort
#include <utility>   // move

#include "poplarport/routing/router.hpp"

// The list of endpoints of a router.
namespace poplarport::routing
{

namespace
{

// Number of responses that the latency estimate covers.
constexpr double latency_window_responses = 8.0;

} // namespace

void router::set_endpoints(std::vector<endpoint> endpoints, core::time_point now)
{
    std::ranges::sort(endpoints, {}, &endpoint::id);
    std::vector<state> next;
    next.reserve(endpoints.size());
    for (endpoint& entry : endpoints)
    {
        const auto target = std::make_shared<const endpoint>(std::move(entry));
        state* existing = this->find(target->id);
        if (existing == nullptr || existing->target->incarnation != target->incarnation)
        {
            next.push_back(this->make_state(target, now));
            continue;
        }
        existing->is_draining = existing->is_draining || target->draining;
        existing->is_suspect = target->suspect;
        existing->target = target;
        next.push_back(*existing);
    }
    this->states = std::move(next);
    this->has_endpoint_list = true;
    this->candidates.reserve(this->states.size());
    this->scratch.reserve(this->states.size());
}

void router::update_endpoint(endpoint changed, core::time_point now)
{
    const auto target = std::make_shared<const endpoint>(std::move(changed));
    const auto position = this->lower_bound(target->id);
    const bool is_known = position != this->states.end() && position->target->id == target->id;
    if (is_known && position->target->incarnation == target->incarnation)
    {
        position->is_draining = position->is_draining || target->draining;
        position->is_suspect = target->suspect;
        position->target = target;
        return;
    }
    if (is_known)
    {
        *position = this->make_state(target, now);
        return;
    }
    this->states.insert(position, this->make_state(target, now));
    this->candidates.reserve(this->states.capacity());
    this->scratch.reserve(this->states.capacity());
}

void router::remove_endpoint(std::string_view id)
{
    const auto position = this->lower_bound(id);
    if (position != this->states.end() && position->target->id == id)
    {
        this->states.erase(position);
    }
}

std::vector<router::state>::iterator router::lower_bound(std::string_view id) noexcept
{
    return std::ranges::lower_bound(this->states, id, {},
                                    [](const state& entry) { return std::string_view{entry.target->id}; });
}

router::state* router::find(std::string_view id) noexcept
{
    const auto found = this->lower_bound(id);
    return found != this->states.end() && found->target->id == id ? &*found : nullptr;
}

const router::state* router::find(std::string_view id) const noexcept
{
    const auto found = std::ranges::lower_bound(this->states, id, {},
                                                [](const state& entry) { return std::string_view{entry.target->id}; });
    return found != this->states.end() && found->target->id == id ? &*found : nullptr;
}

router::state router::make_state(std::shared_ptr<const endpoint> target, core::time_point now) const
{
    const bool is_local_zone = target->availability_zone == this->settings.availability_zone;
    const bool is_draining = target->draining;
    const bool is_suspect = target->suspect;
    state entry{.target = std::move(target),
                .network_latency = is_local_zone ? core::duration::zero() : this->settings.zone_cost,
                .added_at = now,
                .is_cold = this->has_endpoint_list,
                .is_draining = is_draining,
                .is_suspect = is_suspect,
                .report = {},
                .reported_at = {},
                .slowdown_reported_at = {},
                .latency = {this->settings.assumed_service_time, latency_window_responses, now},
                .redirected_at = {},
                .hint_until = {},
                .flagged_until = {},
                .next_straggler_probe = {},
                .failed_until = {},
                .probed_at = {}};
    return entry;
}

} // namespace poplarport::routing
