#include "poplarport/membership/detail/gossip_queue.hpp"

#include <utility> // move

namespace poplarport::membership::detail
{

void gossip_queue::add(const core::node_id& id)
{
    this->remove(id);
    this->transmission_counts.emplace(id, 0);
    this->by_transmissions.emplace(0, id);
}

void gossip_queue::remove(const core::node_id& id)
{
    const auto found = this->transmission_counts.find(id);
    if (found != this->transmission_counts.end())
    {
        this->by_transmissions.erase({found->second, id});
        this->transmission_counts.erase(found);
    }
}

void gossip_queue::on_sent(const core::node_id& id, std::size_t limit)
{
    const auto found = this->transmission_counts.find(id);
    if (found == this->transmission_counts.end())
    {
        return;
    }
    auto entry = this->by_transmissions.extract({found->second, id});
    if (++found->second >= limit)
    {
        this->transmission_counts.erase(found);
        return;
    }
    entry.value().first = found->second;
    this->by_transmissions.insert(std::move(entry));
}

std::vector<core::node_id> gossip_queue::least_transmitted(std::size_t limit) const
{
    std::vector<core::node_id> ids;
    for (const auto& [count, id] : this->by_transmissions)
    {
        if (ids.size() == limit)
        {
            break;
        }
        ids.push_back(id);
    }
    return ids;
}

} // namespace poplarport::membership::detail
