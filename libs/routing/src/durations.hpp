#pragma once

#include <algorithm> // min
#include <cstdint>   // int64_t, uint32_t

#include "poplarport/core/time.hpp"

namespace poplarport::routing
{

/// @return the duration after `times` doublings, at most `max_doublings` of them
[[nodiscard]] inline core::duration doubled(core::duration initial, std::uint32_t times, std::uint32_t max_doublings)
{
    return initial * (std::int64_t{1} << std::min(times, max_doublings));
}

[[nodiscard]] inline double in_nanoseconds(core::duration duration)
{
    return static_cast<double>(duration.count());
}

} // namespace poplarport::routing
