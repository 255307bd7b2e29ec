#include <algorithm> // min
#include <iterator>  // next

#include "poplarport/core/jitter.hpp"
#include "poplarport/mesh/detail/mesh_state.hpp"

// How a mesh node applies the evacuation of availability zones and tells other nodes of it.
namespace poplarport::mesh
{

void mesh_node::state::watch_evacuations()
{
    this->evacuations = std::make_unique<evacuation_task>(
        *this->loop, this->settings.zones, this->settings.is_first_start, this->platform_adapter.evacuation_kind,
        *this->platform_adapter.objects, this->random,
        evacuation_task::hooks{.on_change = [this](const auto& zones) { this->on_evacuations(zones); },
                               .send = [this](const auto& zones, std::size_t copies)
                               { this->send_evacuations(zones, copies); },
                               .rank =
                                   [this]
                               {
                                   return this->configuration->current_rank();
                               }});
}

void mesh_node::state::on_evacuations(const evacuation::zone_state& zones)
{
    this->upstream->set_evacuated(zones.contains(this->settings.availability_zone));
    for (const auto& [id, member] : this->members)
    {
        this->route_to(member);
    }
}

void mesh_node::state::on_evacuation_notice(const core::socket_address& from, const wire::evacuation_notice& notice)
{
    if (this->evacuations && this->evacuations->on_received(notice.state, notice.node))
    {
        this->gossip->send(from,
                           wire::encode(wire::evacuation_notice{this->settings.id, this->evacuations->stored_state()},
                                        this->settings.cluster_secret));
    }
}

void mesh_node::state::send_evacuations(const evacuation::zone_state& zones, std::size_t copies)
{
    const auto bytes = wire::encode(wire::evacuation_notice{this->settings.id, zones}, this->settings.cluster_secret);
    for (std::size_t copy = 0; copy < copies; ++copy)
    {
        const auto index = core::index_below(this->members.size(), this->random);
        const auto& member = std::next(this->members.begin(), static_cast<std::ptrdiff_t>(index))->second;
        if (member.id != this->settings.id)
        {
            this->gossip->send(member.peer_address, bytes);
        }
    }
}

bool mesh_node::state::is_evacuated(const std::string& zone) const
{
    return this->evacuations && this->evacuations->state().contains(zone);
}

} // namespace poplarport::mesh
