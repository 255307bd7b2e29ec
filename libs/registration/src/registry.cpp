#include "poplarport/registration/registry.hpp"

#include <algorithm> // ranges::find
#include <chrono>    // seconds
#include <utility>   // move

namespace poplarport::registration
{

namespace
{

// Enough to recognise a late heartbeat of an ended instance: heartbeats are delayed by seconds, and instances start
// seconds apart.
constexpr std::size_t max_ended_instances = 32;

// Heartbeats arrive every one to two seconds. While the current instance has sent one within this time, a heartbeat of
// an instance that started earlier is a delayed one; later, the clock of the VM may have been set back.
constexpr std::chrono::seconds live_heartbeat_age{5};

} // namespace

std::string to_string(const upstream_instance& instance)
{
    return instance.id + "@" + std::to_string(instance.started_at_ms);
}

registry::registry(std::string service_name, std::string upstream_address)
    : service(std::move(service_name)), address(std::move(upstream_address))
{
}

std::error_code registry::on_heartbeat(const upstream_heartbeat& heartbeat, core::time_point now)
{
    if (const auto error = this->check(heartbeat, now))
    {
        return error;
    }
    // An instance that was registered by a status check has an id but no start time.
    if (this->upstream.instance.started_at_ms == 0 && this->upstream.instance.id == heartbeat.instance.id)
    {
        this->upstream.instance.started_at_ms = heartbeat.instance.started_at_ms;
    }
    if (heartbeat.instance != this->upstream.instance)
    {
        this->end_current();
        this->begin(heartbeat);
    }
    else if (heartbeat.sequence <= this->upstream.sequence)
    {
        return errc::outdated;
    }
    this->upstream.sequence = heartbeat.sequence;
    this->upstream.last_heartbeat_at = now;
    this->upstream.cold_until = now + heartbeat.cold_remaining;
    this->upstream.slots = heartbeat.slots;
    const bool is_deregistered = to_string(heartbeat.instance) == this->last_deregistered;
    if (heartbeat.draining || is_deregistered)
    {
        this->last_deregistered = to_string(heartbeat.instance);
        this->upstream.state =
            this->upstream.state == upstream_state::left ? upstream_state::left : upstream_state::draining;
    }
    else if (this->upstream.state == upstream_state::unknown)
    {
        this->upstream.state = upstream_state::ready;
    }
    return {};
}

std::error_code registry::on_deregistration(const upstream_instance& instance, core::time_point now)
{
    const auto& current_instance = this->upstream.instance;
    const bool is_same_start_time = instance.started_at_ms == current_instance.started_at_ms ||
                                    current_instance.started_at_ms == 0 || instance.started_at_ms == 0;
    const bool is_current = instance.id == current_instance.id && is_same_start_time;
    const bool is_unknown = this->upstream.state == upstream_state::unknown && current_instance.id.empty();
    if (!is_current && !is_unknown)
    {
        return errc::outdated;
    }
    if (is_unknown || current_instance.started_at_ms == 0)
    {
        this->upstream.instance = instance;
    }
    this->upstream.state = upstream_state::left;
    this->upstream.last_heartbeat_at = now;
    this->last_deregistered = to_string(this->upstream.instance);
    return {};
}

void registry::on_leaving()
{
    if (this->upstream.state == upstream_state::ready)
    {
        this->upstream.state = upstream_state::draining;
    }
}

void registry::record_deregistration(const std::string& instance)
{
    if (!this->last_deregistered.empty() || instance.empty())
    {
        return;
    }
    this->last_deregistered = instance;
    const bool by_id =
        this->upstream.instance.started_at_ms == 0 && instance.starts_with(this->upstream.instance.id + "@");
    if (this->upstream.state == upstream_state::ready && (by_id || to_string(this->upstream.instance) == instance))
    {
        this->upstream.state = upstream_state::draining;
    }
}

bool registry::register_responding(const std::string& id, std::uint32_t slots, core::time_point now)
{
    if (this->upstream.state != upstream_state::unknown || id.empty() || this->last_deregistered.starts_with(id + "@"))
    {
        return false;
    }
    this->upstream.instance = {id, 0};
    this->upstream.state = upstream_state::ready;
    this->upstream.slots = slots;
    this->upstream.last_heartbeat_at = now;
    return true;
}

std::error_code registry::check(const upstream_heartbeat& heartbeat, core::time_point now) const
{
    if (heartbeat.instance.id.empty() || heartbeat.slots == 0)
    {
        return errc::malformed;
    }
    if (heartbeat.service != this->service)
    {
        return errc::other_service;
    }
    if (heartbeat.address != this->address)
    {
        return errc::other_address;
    }
    if (this->has_ended(heartbeat.instance))
    {
        return errc::outdated;
    }
    const bool is_earlier = heartbeat.instance.started_at_ms < this->upstream.instance.started_at_ms;
    const bool is_same_id = heartbeat.instance.id == this->upstream.instance.id;
    const bool is_live =
        this->upstream.state == upstream_state::ready && now - this->upstream.last_heartbeat_at < live_heartbeat_age;
    return is_earlier && (is_same_id || is_live) ? std::error_code{errc::outdated} : std::error_code{};
}

bool registry::has_ended(const upstream_instance& instance) const
{
    return std::ranges::find(this->ended_instances, instance) != this->ended_instances.end();
}

void registry::begin(const upstream_heartbeat& heartbeat)
{
    this->upstream = {};
    this->upstream.instance = heartbeat.instance;
    this->upstream.sequence = 0;
}

void registry::end_current()
{
    if (this->upstream.instance.id.empty())
    {
        return;
    }
    this->ended_instances.push_back(this->upstream.instance);
    if (this->ended_instances.size() > max_ended_instances)
    {
        this->ended_instances.pop_front();
    }
}

} // namespace poplarport::registration
