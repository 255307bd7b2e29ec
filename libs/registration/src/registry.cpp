#include "poplarport/registration/registry.hpp"

#include <algorithm> // ranges::all_of, ranges::find
#include <chrono>    // seconds
#include <cstddef>   // size_t
#include <utility>   // move

namespace poplarport::registration
{

namespace
{

// Enough to recognise a late heartbeat of an ended instance: heartbeats are delayed by seconds, and instances start
// seconds apart.
constexpr std::size_t max_ended_instances = 32;

// Heartbeats arrive every one to two seconds. While the current instance has sent one within this time, it is live, and
// a heartbeat of another instance is a delayed one.
constexpr std::chrono::seconds live_heartbeat_age{5};

// Nodes send the id and the start time to each other in a text of limited length, and upstreams receive the id in a
// header field.
constexpr std::size_t max_id_length = 96;

bool is_valid_id(const std::string& id) noexcept
{
    return !id.empty() && id.size() <= max_id_length &&
           std::ranges::all_of(id, [](char letter) { return letter > ' ' && letter <= '~'; });
}

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
    if (const auto error = this->check(heartbeat))
    {
        return error;
    }
    if (!this->is_current(heartbeat.instance))
    {
        this->record_rival(heartbeat);
        if (!this->is_later(heartbeat.instance) && !this->has_outlived_current(heartbeat.instance, now) &&
            !this->may_follow_current(heartbeat.instance, now))
        {
            return errc::superseded;
        }
        this->replace_current(heartbeat.instance);
    }
    else if (heartbeat.sequence <= this->upstream.sequence)
    {
        return errc::outdated;
    }
    // An instance that was registered by a status check has an id but no start time.
    this->upstream.instance = heartbeat.instance;
    this->rival.reset();
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
    if (!is_valid_id(instance.id))
    {
        return errc::malformed;
    }
    const bool is_same_id = instance.id == this->upstream.instance.id;
    const bool names_current = this->is_current(instance) || (is_same_id && instance.started_at_ms == 0);
    if (!names_current)
    {
        // A deregistration names neither a service nor an address, so one with another id may come from anywhere.
        const bool is_known_id = is_same_id || this->upstream.instance.id.empty();
        const bool is_restart = is_known_id && this->is_later(instance);
        if (!is_restart && !this->has_outlived_current(instance, now))
        {
            return errc::superseded;
        }
        this->replace_current(instance);
    }
    else if (this->upstream.instance.started_at_ms == 0)
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
    if (this->upstream.state != upstream_state::unknown || !is_valid_id(id) ||
        this->last_deregistered.starts_with(id + "@"))
    {
        return false;
    }
    this->upstream.instance = {id, 0};
    this->upstream.state = upstream_state::ready;
    this->upstream.slots = slots;
    this->upstream.last_heartbeat_at = now;
    return true;
}

std::error_code registry::check(const upstream_heartbeat& heartbeat) const
{
    if (!is_valid_id(heartbeat.instance.id) || heartbeat.slots == 0)
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
    return {};
}

bool registry::is_current(const upstream_instance& instance) const
{
    const auto& current_instance = this->upstream.instance;
    return instance.id == current_instance.id &&
           (instance.started_at_ms == current_instance.started_at_ms || current_instance.started_at_ms == 0);
}

bool registry::is_later(const upstream_instance& instance) const
{
    const auto& current_instance = this->upstream.instance;
    return current_instance.id.empty() ||
           (instance.started_at_ms > current_instance.started_at_ms && this->find_ended(instance) == nullptr);
}

bool registry::is_silent(core::time_point now) const
{
    return now - this->upstream.last_heartbeat_at >= live_heartbeat_age;
}

bool registry::has_outlived_current(const upstream_instance& instance, core::time_point now) const
{
    return this->is_silent(now) && this->rival && this->rival->instance == instance && this->rival->sent_two_heartbeats;
}

// Status checks show which id lives at the address, but not which of two instances with the same id.
bool registry::may_follow_current(const upstream_instance& instance, core::time_point now) const
{
    const bool is_known = instance.id == this->upstream.instance.id || this->find_ended(instance) != nullptr;
    return !is_known && (this->is_silent(now) || this->upstream.state != upstream_state::ready);
}

const registry::ended_instance* registry::find_ended(const upstream_instance& instance) const
{
    const auto found = std::ranges::find(this->ended_instances, instance, &ended_instance::instance);
    return found == this->ended_instances.end() ? nullptr : &*found;
}

void registry::record_rival(const upstream_heartbeat& heartbeat)
{
    if (!this->rival || this->rival->instance != heartbeat.instance)
    {
        this->rival = rival_instance{heartbeat.instance, heartbeat.sequence, false};
    }
    else if (heartbeat.sequence > this->rival->sequence)
    {
        this->rival->sequence = heartbeat.sequence;
        this->rival->sent_two_heartbeats = true;
    }
}

void registry::replace_current(const upstream_instance& instance)
{
    const auto* const ended = this->find_ended(instance);
    const bool was_leaving = ended != nullptr && ended->was_leaving;
    std::erase_if(this->ended_instances, [&instance](const auto& each) { return each.instance == instance; });
    if (!this->upstream.instance.id.empty())
    {
        const bool is_leaving =
            this->upstream.state == upstream_state::draining || this->upstream.state == upstream_state::left;
        this->ended_instances.push_back({this->upstream.instance, is_leaving});
        if (this->ended_instances.size() > max_ended_instances)
        {
            this->ended_instances.pop_front();
        }
    }
    this->upstream = {};
    this->upstream.instance = instance;
    this->upstream.state = was_leaving ? upstream_state::draining : upstream_state::unknown;
    this->rival.reset();
}

} // namespace poplarport::registration
