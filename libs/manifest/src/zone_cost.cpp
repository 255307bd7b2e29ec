#include "poplarport/manifest/zone_cost.hpp"

#include <algorithm> // max

namespace poplarport::manifest
{

std::chrono::microseconds cost_between(const std::vector<zone_cost>& costs, std::string_view from,
                                       std::string_view to) noexcept
{
    if (from == to)
    {
        return std::chrono::microseconds{0};
    }
    std::chrono::microseconds max_cost{0};
    for (const zone_cost& entry : costs)
    {
        if ((entry.from == from && entry.to == to) || (entry.from == to && entry.to == from))
        {
            return entry.cost;
        }
        max_cost = std::max(max_cost, entry.cost);
    }
    return max_cost;
}

} // namespace poplarport::manifest
