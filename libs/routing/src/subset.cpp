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
    std::size_t index;
};

struct sample_entry
{
    double sort_key;
    std::uint64_t hash; // breaks ties of `sort_key`, so that the result does not depend on the order of `members`
    std::size_t index;
};

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Maps a hash to [0, 1); a double holds 53 of its bits.
double to_fraction(std::uint64_t hash)
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
    for (std::size_t index = 0; index < members.size(); ++index)
    {
        const endpoint& member = members[index];
        zones[member.availability_zone].push_back({hash_of(member.id, seed), index});
    }
    // Systematic sampling: the member of rank r in a zone of n members gets the sort key (r + u) / n, with one offset u
    // in [0, 1) per node and zone. The first `size` members then represent each zone in proportion to its size.
    std::vector<sample_entry> sample;
    sample.reserve(members.size());
    for (auto& [zone, ranked] : zones)
    {
        std::ranges::sort(ranked, {}, [](const ranked_member& member) { return std::pair{member.hash, member.index}; });
        const double offset = to_fraction(hash_of(zone, seed));
        for (std::size_t rank = 0; rank < ranked.size(); ++rank)
        {
            const double sort_key = (static_cast<double>(rank) + offset) / static_cast<double>(ranked.size());
            sample.push_back({sort_key, ranked[rank].hash, ranked[rank].index});
        }
    }
    std::ranges::sort(sample, {}, [](const sample_entry& entry) { return std::pair{entry.sort_key, entry.hash}; });
    std::vector<std::size_t> selected;
    for (std::size_t rank = 0; rank < std::min(size, sample.size()); ++rank)
    {
        selected.push_back(sample[rank].index);
    }
    std::ranges::sort(selected);
    return selected;
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
    // The mean m must satisfy m + 4 sqrt(m) <= limit, that is sqrt(m) <= sqrt(limit + 4) - 2.
    const double mean_root = std::sqrt(static_cast<double>(connections_limit) + 4.0) - 2.0;
    const double size = mean_root * mean_root * static_cast<double>(members) / static_cast<double>(callers);
    return std::clamp(static_cast<std::size_t>(size), std::size_t{1}, members);
}

} // namespace poplarport::routing
