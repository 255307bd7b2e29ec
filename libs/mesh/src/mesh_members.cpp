#include <algorithm> // ranges::count_if
#include <chrono>    // seconds
#include <utility>   // exchange

#include "poplarport/mesh/detail/mesh_state.hpp"
#include "poplarport/wire/datagram.hpp"

// The members of the mesh as the node's routers and tasks see them.
namespace poplarport::mesh
{

namespace
{

// Nodes that have sent a call within this time are notified of a change of the upstream's speed.
constexpr std::chrono::seconds caller_retention{3};

// Up to this number of nodes of the service, all of them are notified too. In a larger service only those of the local
// zone are, which has enough peers to name.
constexpr std::size_t max_notified_peers = 16;

} // namespace

void mesh_node::state::on_member_events(const std::vector<membership::member_event>& events)
{
    for (const auto& event : events)
    {
        if (event.change == membership::member_change::superseded)
        {
            continue;
        }
        if (membership::is_live(event.member))
        {
            this->update_member(event.member);
        }
        else
        {
            this->remove_member(event.member.id);
        }
    }
}

void mesh_node::state::update_member(const membership::member& member)
{
    auto& held = this->members[member.id];
    const auto previous_service = std::exchange(held, member).service;
    if (!previous_service.empty() && previous_service != member.service)
    {
        this->router_of(previous_service).remove_member(member.id);
    }
    if (member.id == this->settings.id)
    {
        // Peers may hold a deregistration from before a restart of this process.
        this->upstream->record_deregistration(member.deregistered_instance);
    }
    this->route_to(member);
    this->update_quota_members();
    this->configuration->update_member(member);
    if (this->evacuations)
    {
        this->evacuations->on_members_changed(this->members.size() > 1);
    }
    this->discovery->add_member(member.id);
}

void mesh_node::state::remove_member(const core::node_id& id)
{
    const auto found = this->members.find(id);
    if (found == this->members.end() || id == this->settings.id)
    {
        return;
    }
    this->router_of(found->second.service).remove_member(id);
    this->members.erase(found);
    this->update_quota_members();
    this->configuration->remove_member(id);
    this->discovery->remove_member(id);
    if (this->evacuations)
    {
        this->evacuations->on_members_changed(this->members.size() > 1);
    }
}

void mesh_node::state::route_to(const membership::member& member)
{
    auto& router = this->router_of(member.service);
    if (member.accepting && !this->is_evacuated(member.availability_zone))
    {
        router.update_member(member);
    }
    else
    {
        router.remove_member(member.id);
    }
}

void mesh_node::state::publish_slowdown()
{
    if (!this->gossip)
    {
        return;
    }
    const auto slowdown = this->upstream->receiver().load().slowdown_percent;
    this->router_of(this->settings.service).on_slowdown_notice(this->settings.id, slowdown);
    const auto now = this->loop->now();
    std::erase_if(this->recent_callers, [&](const auto& each) { return now - each.second > caller_retention; });
    const auto bytes = wire::encode(wire::slowdown_notice{this->settings.id, slowdown}, this->settings.cluster_secret);
    const auto in_service = std::ranges::count_if(this->members, [this](const auto& each)
                                                  { return each.second.service == this->settings.service; });
    const bool is_small = static_cast<std::size_t>(in_service) <= max_notified_peers;
    for (const auto& [id, each] : this->members)
    {
        // Nodes of the same service are notified too, because they name faster peers when they refuse a request.
        const bool is_eligible_peer = is_small || each.availability_zone == this->settings.availability_zone;
        const bool is_notified = (is_eligible_peer && each.service == this->settings.service) ||
                                 this->recent_callers.contains(each.peer_address.host);
        if (each.id != this->settings.id && is_notified)
        {
            this->gossip->send(each.peer_address, bytes);
        }
    }
}

node::service_router& mesh_node::state::router_of(const std::string& service)
{
    auto& router = this->routers[service];
    if (!router)
    {
        router = std::make_unique<node::service_router>(*this->loop, this->identity, service, this->random,
                                                        node::service_router::hooks{});
        std::vector<membership::member> list;
        for (const auto& [id, each] : this->members)
        {
            if (each.service == service && each.accepting && !this->is_evacuated(each.availability_zone))
            {
                list.push_back(each);
            }
        }
        router->set_members(list);
    }
    return *router;
}

peer::link* mesh_node::state::link_of(const core::node_id& id)
{
    const auto found = this->members.find(id);
    return found == this->members.end() ? nullptr
                                        : &this->router_of(found->second.service).link_to(found->second.peer_address);
}

} // namespace poplarport::mesh
