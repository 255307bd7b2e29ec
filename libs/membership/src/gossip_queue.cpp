#include "poplarport/membership/detail/gossip_queue.hpp"

#include <algorithm> // ranges::stable_sort

namespace poplarport::membership::detail
{

void gossip_queue::add(const core::node_id& id)
{
    this->sent[id] = 0;
}

void gossip_queue::remove(const core::node_id& id)
{
    this->sent.erase(id);
}

void gossip_queue::on_sent(const core::node_id& id, std::size_t limit)
{
    const auto found = this->sent.find(id);
    if (found != this->sent.end() && ++found->second >= limit)
    {
        this->sent.erase(found);
    }
}

std::vector<core::node_id> gossip_queue::in_order() const
{
    std::vector<core::node_id> ids;
    for (const auto& [id, count] : this->sent)
    {
        ids.push_back(id);
    }
    std::ranges::stable_sort(ids, {}, [this](const core::node_id& id) { return this->sent.at(id); });
    return ids;
}

} // namespace poplarport::membership::detail
