#pragma once

#include <chrono> // steady_clock

namespace poplarport::core
{

/// @brief The monotonic clock of a process; decision code receives its readings as parameters.
using clock = std::chrono::steady_clock;

/// @brief A reading of the monotonic clock, valid within one process only.
using time_point = clock::time_point;

/// @brief A span of time, in nanoseconds.
using duration = clock::duration;

} // namespace poplarport::core
