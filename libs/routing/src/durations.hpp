#pragma once

#include <algorithm> // min
#include <cstdint>   // int64_t, uint32_t

#include "poplarport/core/time.hpp"

namespace poplarport::routing
{

/// @return the value, doubled so many times, but not more often than the limit
[[nodiscard]] inline core::duration doubled(core::duration value, std::uint32_t times, std::uint32_t limit)
{
    return value * (std::int64_t{1} << std::min(times, limit));
}

/// @return the length in nanoseconds
[[nodiscard]] inline double in_nanoseconds(core::duration value)
{
    return static_cast<double>(value.count());
}

} // namespace poplarport::routing
