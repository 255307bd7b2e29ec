#include "poplarport/registration/registry.hpp"

#include <algorithm> // ranges::find
#include <chrono>    // seconds
#include <utility>   // move

namespace poplarport::registration
{

namespace
{

// Starts that are remembered as over; a late announcement is delayed by seconds, and starts are seconds apart.
constexpr std::size_t remembered_starts = 32;

// Announcements come every one to two seconds. An earlier start than the one that was heard of within this time is a
// delayed word; after it, the clock of the present start may have been set back.
constexpr std::chrono::seconds silence_of_ended{5};

} // namespace

std::string to_string(const upstream_instance& start)
{
    return start.id + "@" + std::to_string(start.started_at_ms);
}

registry::registry(std::string service_name, std::string own_address)
    : service(std::move(service_name)), address(std::move(own_address))
{
}

std::error_code registry::announce(const upstream_heartbeat& value, core::time_point now)
{
    if (const auto error = this->check(value, now))
    {
        return error;
    }
    // A start that was adopted by a status check is known by its id alone.
    if (this->upstream.start.started_at_ms == 0 && this->upstream.start.id == value.start.id)
    {
        this->upstream.start.started_at_ms = value.start.started_at_ms;
    }
    if (value.start != this->upstream.start)
    {
        this->end_current();
        this->begin(value);
    }
    else if (value.sequence <= this->upstream.sequence)
    {
        return errc::outdated;
    }
    this->upstream.sequence = value.sequence;
    this->upstream.last_heartbeat_at = now;
    this->upstream.cold_until = now + value.cold_remaining;
    this->upstream.slots = value.slots;
    const bool is_deregistered = to_string(value.start) == this->last_deregistered;
    if (value.draining || is_deregistered)
    {
        this->last_deregistered = to_string(value.start);
        this->upstream.state =
            this->upstream.state == upstream_state::left ? upstream_state::left : upstream_state::draining;
    }
    else if (this->upstream.state == upstream_state::unknown)
    {
        this->upstream.state = upstream_state::ready;
    }
    return {};
}

std::error_code registry::leave(const upstream_instance& start, core::time_point now)
{
    const auto& held = this->upstream.start;
    const bool is_same_start_time =
        start.started_at_ms == held.started_at_ms || held.started_at_ms == 0 || start.started_at_ms == 0;
    const bool is_current = start.id == held.id && is_same_start_time;
    const bool is_unknown = this->upstream.state == upstream_state::unknown && held.id.empty();
    if (!is_current && !is_unknown)
    {
        return errc::outdated;
    }
    if (is_unknown || held.started_at_ms == 0)
    {
        this->upstream.start = start;
    }
    this->upstream.state = upstream_state::left;
    this->upstream.last_heartbeat_at = now;
    this->last_deregistered = to_string(this->upstream.start);
    return {};
}

void registry::record_deregistration(const std::string& start)
{
    if (!this->last_deregistered.empty() || start.empty())
    {
        return;
    }
    this->last_deregistered = start;
    const bool by_id = this->upstream.start.started_at_ms == 0 && start.starts_with(this->upstream.start.id + "@");
    if (this->upstream.state == upstream_state::ready && (by_id || to_string(this->upstream.start) == start))
    {
        this->upstream.state = upstream_state::draining;
    }
}

bool registry::adopt(const std::string& id, std::uint32_t slots, core::time_point now)
{
    if (this->upstream.state != upstream_state::unknown || id.empty() || this->last_deregistered.starts_with(id + "@"))
    {
        return false;
    }
    this->upstream.start = {id, 0};
    this->upstream.state = upstream_state::ready;
    this->upstream.slots = slots;
    this->upstream.last_heartbeat_at = now;
    return true;
}

std::error_code registry::check(const upstream_heartbeat& value, core::time_point now) const
{
    if (value.start.id.empty() || value.slots == 0)
    {
        return errc::malformed;
    }
    if (value.service != this->service)
    {
        return errc::other_service;
    }
    if (value.address != this->address)
    {
        return errc::other_address;
    }
    if (this->is_over(value.start))
    {
        return errc::outdated;
    }
    const bool is_earlier = value.start.started_at_ms < this->upstream.start.started_at_ms;
    const bool is_same_id = value.start.id == this->upstream.start.id;
    const bool is_live =
        this->upstream.state == upstream_state::ready && now - this->upstream.last_heartbeat_at < silence_of_ended;
    return is_earlier && (is_same_id || is_live) ? std::error_code{errc::outdated} : std::error_code{};
}

bool registry::is_over(const upstream_instance& start) const
{
    return std::ranges::find(this->ended, start) != this->ended.end();
}

void registry::begin(const upstream_heartbeat& value)
{
    this->upstream = {};
    this->upstream.start = value.start;
    this->upstream.sequence = 0;
}

void registry::end_current()
{
    if (this->upstream.start.id.empty())
    {
        return;
    }
    this->ended.push_back(this->upstream.start);
    if (this->ended.size() > remembered_starts)
    {
        this->ended.pop_front();
    }
}

} // namespace poplarport::registration
