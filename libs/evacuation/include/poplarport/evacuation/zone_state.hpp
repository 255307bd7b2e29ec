#pragma once

#include <cstdint>     // uint64_t
#include <set>         // set
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::evacuation
{

/// @brief The evacuated availability zones, as the store held them at a revision.
struct zone_state
{
    std::uint64_t revision{0}; ///< revision of the store; zero if it has never been read
    std::set<std::string, std::less<>> zones{};

    [[nodiscard]] bool contains(std::string_view zone) const
    {
        return this->zones.contains(zone);
    }

    bool operator==(const zone_state&) const = default;
};

} // namespace poplarport::evacuation
