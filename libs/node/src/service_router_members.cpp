#include <set>     // set
#include <utility> // move

#include "poplarport/node/service_router.hpp"
#include "poplarport/routing/subset.hpp"

// The endpoints of a service router, which follow from the members of the service.
namespace poplarport::node
{

namespace
{

routing::endpoint to_endpoint(const membership::member& member)
{
    return {member.id,          member.availability_zone, member.peer_address,
            member.incarnation, member.draining,          member.state == membership::member_state::suspect};
}

} // namespace

void service_router::set_members(const std::vector<membership::member>& live_members)
{
    this->members.clear();
    for (const auto& each : live_members)
    {
        this->members.emplace(each.id, to_endpoint(each));
    }
    this->update_endpoints();
}

void service_router::update_member(const membership::member& member)
{
    const auto endpoint = to_endpoint(member);
    const bool used_all_members = this->uses_all_members();
    const auto [position, is_new] = this->members.try_emplace(member.id, endpoint);
    const bool has_moved = !is_new && position->second.address != endpoint.address;
    if (!is_new && position->second == endpoint)
    {
        return;
    }
    position->second = endpoint;
    if (!used_all_members || !this->uses_all_members())
    {
        this->update_endpoints();
        return;
    }
    this->endpoints.insert_or_assign(member.id, endpoint);
    this->router->update_endpoint(endpoint, this->loop->now());
    if (has_moved)
    {
        this->drop_unused_links();
    }
}

void service_router::remove_member(const core::node_id& id)
{
    const bool used_all_members = this->uses_all_members();
    if (this->members.erase(id) == 0)
    {
        return;
    }
    if (!used_all_members)
    {
        this->update_endpoints();
        return;
    }
    this->endpoints.erase(id);
    this->router->remove_endpoint(id);
    this->drop_unused_links();
}

bool service_router::uses_all_members() const
{
    const auto count = this->members.size();
    return routing::subset_size(count, count, this->rules.connection_limit) == count;
}

void service_router::update_endpoints()
{
    std::vector<routing::endpoint> all;
    for (const auto& [id, member] : this->members)
    {
        all.push_back(member);
    }
    // Every member of a service may be an entry node, so each endpoint is in the subsets of about as many nodes as the
    // service has members.
    const auto size = routing::subset_size(all.size(), all.size(), this->rules.connection_limit);
    std::map<core::node_id, routing::endpoint> selected;
    for (const auto position : routing::subset(this->identity->id, all, size))
    {
        selected.emplace(all[position].id, all[position]);
    }
    for (const auto& endpoint : all)
    {
        if (endpoint.id == this->identity->id)
        {
            selected.insert_or_assign(endpoint.id, endpoint);
        }
    }
    this->endpoints = std::move(selected);
    std::vector<routing::endpoint> list;
    for (const auto& [id, endpoint] : this->endpoints)
    {
        list.push_back(endpoint);
    }
    this->router->set_endpoints(std::move(list), this->loop->now());
    this->drop_unused_links();
}

void service_router::drop_unused_links()
{
    std::set<core::socket_address> addresses;
    for (const auto& [id, endpoint] : this->endpoints)
    {
        addresses.insert(endpoint.address);
    }
    // A link with calls in progress is kept even when its endpoint is no longer a member: failure detection may be
    // wrong, and the link itself detects a silent connection.
    std::erase_if(this->links, [&](const auto& entry)
                  { return !addresses.contains(entry.first) && entry.second->call_count() == 0; });
}

peer::link* service_router::link_to_member(const core::node_id& id)
{
    const auto position = this->members.find(id);
    return position == this->members.end() ? nullptr : &this->link_to(position->second.address);
}

} // namespace poplarport::node
