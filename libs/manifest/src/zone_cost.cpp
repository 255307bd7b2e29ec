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
    std::chrono::microseconds greatest{0};
    for (const zone_cost& part : costs)
    {
        if ((part.from == from && part.to == to) || (part.from == to && part.to == from))
        {
            return part.cost;
        }
        greatest = std::max(greatest, part.cost);
    }
    return greatest;
}

} // namespace poplarport::manifest
