#include "poplarport/membership/rendezvous.hpp"

#include <algorithm> // ranges::sort
#include <utility>   // pair

#include <xxhash.h> // XXH64

namespace poplarport::membership
{

std::uint64_t rendezvous_weight(std::string_view key, const core::node_id& id) noexcept
{
    return XXH64(id.data(), id.size(), XXH64(key.data(), key.size(), 0));
}

std::vector<member> rendezvous_order(std::string_view key, std::vector<member> members)
{
    // Equal weights are ordered by id, so that every node computes the same order.
    const auto weight = [key](const member& each)
    {
        return std::pair{~rendezvous_weight(key, each.id), each.id};
    };
    std::ranges::sort(members, {}, weight);
    return members;
}

} // namespace poplarport::membership
