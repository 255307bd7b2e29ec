#include "poplarport/membership/detail/gossip_queue.hpp"

#include <algorithm> // ranges::stable_sort

namespace poplarport::membership::detail
{

void gossip_queue::add(const core::node_id& id)
{
    this->transmission_counts[id] = 0;
}

void gossip_queue::remove(const core::node_id& id)
{
    this->transmission_counts.erase(id);
}

void gossip_queue::on_sent(const core::node_id& id, std::size_t limit)
{
    const auto found = this->transmission_counts.find(id);
    if (found != this->transmission_counts.end() && ++found->second >= limit)
    {
        this->transmission_counts.erase(found);
    }
}

std::vector<core::node_id> gossip_queue::ordered_by_transmissions() const
{
    std::vector<core::node_id> ids;
    for (const auto& [id, count] : this->transmission_counts)
    {
        ids.push_back(id);
    }
    std::ranges::stable_sort(ids, {}, [this](const core::node_id& id) { return this->transmission_counts.at(id); });
    return ids;
}

} // namespace poplarport::membership::detail
