#pragma once

#include <chrono>      // microseconds
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace poplarport::manifest
{

/// @brief Cost of a call between two availability zones, equal in both directions.
struct zone_cost
{
    std::string from;                  ///< the first zone by name
    std::string to;                    ///< the second zone by name
    std::chrono::microseconds cost{0}; ///< added to the score of an endpoint in the other zone

    bool operator==(const zone_cost&) const = default;
};

/// @return the cost between two availability zones: zero within a zone; the maximum listed cost for a pair that is not
///         listed
[[nodiscard]] std::chrono::microseconds cost_between(const std::vector<zone_cost>& costs, std::string_view from,
                                                     std::string_view to) noexcept;

} // namespace poplarport::manifest
