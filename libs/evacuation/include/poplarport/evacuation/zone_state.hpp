#pragma once

#include <cstdint>     // uint64_t
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view
#include <tuple>       // tie

namespace poplarport::evacuation
{

/// @brief The evacuated availability zones, as the store held them at a revision.
struct zone_state
{
    std::uint64_t revision{0}; ///< revision of the store in its era; zero if it has never been read
    std::set<std::string, std::less<>> zones{};
    std::uint64_t era{0}; ///< number of times that the store had come back from an older copy

    [[nodiscard]] bool contains(std::string_view zone) const
    {
        return this->zones.contains(zone);
    }

    /// @return whether the other state was read later; its revision may be lower if it is of a later era
    [[nodiscard]] bool is_older_than(const zone_state& other) const noexcept
    {
        return std::tie(this->era, this->revision) < std::tie(other.era, other.revision);
    }

    bool operator==(const zone_state&) const = default;
};

} // namespace poplarport::evacuation
