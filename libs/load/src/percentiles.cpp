#include "poplarport/load/percentiles.hpp"

#include <algorithm> // clamp
#include <cmath>     // ceil
#include <cstddef>   // size_t

namespace poplarport::load
{

std::chrono::microseconds percentile(const std::vector<std::chrono::microseconds>& sorted, double fraction)
{
    if (sorted.empty())
    {
        return std::chrono::microseconds{0};
    }
    const auto count = static_cast<double>(sorted.size());
    const auto rank = std::clamp(std::ceil(fraction * count), 1.0, count);
    return sorted[static_cast<std::size_t>(rank) - 1];
}

} // namespace poplarport::load
