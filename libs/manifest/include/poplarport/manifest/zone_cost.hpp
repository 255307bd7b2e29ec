#pragma once

#include <chrono>      // microseconds
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace poplarport::manifest
{

/// @brief Cost of a call between two availability zones, the same in both directions.
struct zone_cost
{
    std::string from;                  ///< the zone that comes first by name
    std::string to;                    ///< the other zone
    std::chrono::microseconds cost{0}; ///< added to the score of an endpoint in the other zone

    bool operator==(const zone_cost&) const = default;
};

/// @brief Returns the cost between two availability zones.
/// @return zero within a zone; for a pair that is not listed, the greatest listed cost
[[nodiscard]] std::chrono::microseconds cost_between(const std::vector<zone_cost>& costs, std::string_view from,
                                                     std::string_view to) noexcept;

} // namespace poplarport::manifest
