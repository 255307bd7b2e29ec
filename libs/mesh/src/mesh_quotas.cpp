#include <algorithm> // min, ranges::count_if
#include <utility>   // pair

#include "poplarport/membership/rendezvous.hpp"
#include "poplarport/mesh/detail/mesh_state.hpp"

// How a mesh node exchanges quota reports and decisions with the other nodes.
namespace poplarport::mesh
{

namespace
{

// A suspect member has probably failed; it is declared dead only seconds later.
bool is_reachable(const membership::member& member)
{
    return member.state == membership::member_state::alive;
}

// Calls the function with parts of a list that fit into one datagram each.
template <typename entry, typename function>
void for_each_datagram(const std::vector<entry>& list, const function& send)
{
    for (std::size_t first = 0; first < list.size(); first += wire::max_quota_entries)
    {
        const auto count = std::min(list.size() - first, wire::max_quota_entries);
        const auto begin = list.begin() + static_cast<std::ptrdiff_t>(first);
        send(std::vector<entry>{begin, begin + static_cast<std::ptrdiff_t>(count)});
    }
}

} // namespace

void mesh_node::state::share_quotas()
{
    this->quotas = std::make_unique<quota_task>(
        *this->loop, this->settings.id, this->random,
        quota_task::hooks{.quota_of = [this](const std::string& tenant) { return this->quota_of(tenant); },
                          .owner_of = [this](const std::string& tenant) { return this->quota_owner_of(tenant); },
                          .send_reports = [this](const core::node_id& owner, const auto& reports)
                          { this->send_quota_reports(owner, reports); },
                          .announce =
                              [this](const auto& decisions)
                          {
                              this->announce_quotas(decisions);
                          }});
    this->update_quota_members();
}

std::optional<limits::quota> mesh_node::state::quota_of(const std::string& tenant) const
{
    const auto* const found = this->table ? this->table->tenants().find(tenant) : nullptr;
    if (found == nullptr || !found->allowance.is_limited())
    {
        return std::nullopt;
    }
    return limits::quota{found->allowance.rate_per_second, found->allowance.burst};
}

core::node_id mesh_node::state::quota_owner_of(const std::string& tenant) const
{
    const auto key = "quota/" + tenant;
    std::pair<std::uint64_t, core::node_id> best{0, this->settings.id};
    for (const auto& [id, member] : this->members)
    {
        if (is_reachable(member))
        {
            best = std::max(best, {membership::rendezvous_weight(key, id), id});
        }
    }
    return best.second;
}

void mesh_node::state::update_quota_members()
{
    if (this->quotas)
    {
        const auto reachable =
            std::ranges::count_if(this->members, [](const auto& each) { return is_reachable(each.second); });
        this->quotas->on_members_changed(static_cast<std::size_t>(reachable));
    }
}

void mesh_node::state::send_quota_reports(const core::node_id& owner, const std::vector<limits::quota_report>& reports)
{
    const auto found = this->members.find(owner);
    if (found == this->members.end())
    {
        return;
    }
    for_each_datagram(reports,
                      [&](std::vector<limits::quota_report> part)
                      {
                          this->gossip->send(found->second.peer_address,
                                             wire::encode(wire::quota_reports{this->settings.id, std::move(part)},
                                                          this->settings.cluster_secret));
                      });
}

void mesh_node::state::announce_quotas(const std::vector<limits::quota_decision>& decisions)
{
    this->quotas->on_decisions(decisions);
    for_each_datagram(decisions,
                      [&](std::vector<limits::quota_decision> part)
                      {
                          const auto bytes = wire::encode(wire::quota_decisions{this->settings.id, std::move(part)},
                                                          this->settings.cluster_secret);
                          for (const auto& [id, member] : this->members)
                          {
                              if (id != this->settings.id)
                              {
                                  this->gossip->send(member.peer_address, bytes);
                              }
                          }
                      });
}

void mesh_node::state::on_quota_reports(const core::socket_address& from, const wire::quota_reports& reports)
{
    if (!this->quotas)
    {
        return;
    }
    auto decisions = this->quotas->on_reports(reports.node, reports.reports);
    if (!decisions.empty())
    {
        this->gossip->send(from, wire::encode(wire::quota_decisions{this->settings.id, std::move(decisions)},
                                              this->settings.cluster_secret));
    }
}

} // namespace poplarport::mesh
