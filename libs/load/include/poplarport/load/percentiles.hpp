#pragma once

#include <chrono> // microseconds
#include <vector> // vector

namespace poplarport::load
{

/// @brief Calculates a percentile by the nearest-rank method.
/// @param[in] sorted   durations in ascending order
/// @param[in] fraction fraction of the durations, 0 to 1
/// @return the smallest duration that is not exceeded by at least this fraction of them; zero if there are none
[[nodiscard]] std::chrono::microseconds percentile(const std::vector<std::chrono::microseconds>& sorted,
                                                   double fraction);

} // namespace poplarport::load
