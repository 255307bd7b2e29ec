#pragma once

#include <chrono> // steady_clock

namespace poplarport::core
{

/// @brief The monotonic clock of a process; decision code receives the current time as a parameter.
using clock = std::chrono::steady_clock;

/// @brief A time of the monotonic clock, valid only within one process.
using time_point = clock::time_point;

/// @brief A duration in nanoseconds.
using duration = clock::duration;

} // namespace poplarport::core
