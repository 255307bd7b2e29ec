#include "poplarport/routing/subset.hpp"

#include <algorithm>   // clamp, min, ranges::sort
#include <cmath>       // sqrt
#include <cstdint>     // uint64_t
#include <map>         // map
#include <string_view> // string_view
#include <utility>     // pair

#include <xxhash.h>

namespace poplarport::routing
{

namespace
{

struct ranked_member
{
    std::uint64_t hash;
    std::size_t position;
};

struct placed_member
{
    double order;
    std::uint64_t hash; // decides between equal orders, so that the result does not depend on the order of members
    std::size_t position;
};

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Returns a number in [0, 1).
double fraction_of(std::uint64_t hash)
{
    constexpr int unused_bits = 11;
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(hash >> unused_bits) * scale;
}

} // namespace

std::vector<std::size_t> subset(const core::node_id& self, std::span<const endpoint> members, std::size_t size)
{
    const std::uint64_t seed = hash_of(self, 0);
    std::map<std::string_view, std::vector<ranked_member>> zones;
    for (std::size_t position = 0; position < members.size(); ++position)
    {
        const endpoint& member = members[position];
        zones[member.availability_zone].push_back({hash_of(member.id, seed), position});
    }
    // The member of rank r in a zone of n members is placed at (r + u) / n with one u per node and zone. The first
    // `size` members in this order are a systematic sample: each zone is represented in proportion to its size.
    std::vector<placed_member> placed;
    placed.reserve(members.size());
    for (auto& [zone, ranked] : zones)
    {
        std::ranges::sort(ranked, {}, [](const ranked_member& item) { return std::pair{item.hash, item.position}; });
        const double start = fraction_of(hash_of(zone, seed));
        for (std::size_t rank = 0; rank < ranked.size(); ++rank)
        {
            const double order = (static_cast<double>(rank) + start) / static_cast<double>(ranked.size());
            placed.push_back({order, ranked[rank].hash, ranked[rank].position});
        }
    }
    std::ranges::sort(placed, {}, [](const placed_member& item) { return std::pair{item.order, item.hash}; });
    std::vector<std::size_t> chosen;
    for (std::size_t index = 0; index < std::min(size, placed.size()); ++index)
    {
        chosen.push_back(placed[index].position);
    }
    std::ranges::sort(chosen);
    return chosen;
}

std::size_t subset_size(std::size_t callers, std::size_t members, std::size_t connections_limit)
{
    if (members == 0)
    {
        return 0;
    }
    if (callers <= connections_limit)
    {
        return members;
    }
    // The mean m fulfils m + 4 sqrt(m) <= limit, that is sqrt(m) <= sqrt(limit + 4) - 2.
    const double root = std::sqrt(static_cast<double>(connections_limit) + 4.0) - 2.0;
    const double size = root * root * static_cast<double>(members) / static_cast<double>(callers);
    return std::clamp(static_cast<std::size_t>(size), std::size_t{1}, members);
}

} // namespace poplarport::routing
