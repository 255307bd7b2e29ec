#pragma once

#include <chrono> // microseconds
#include <vector> // vector

namespace poplarport::load
{

/// @brief Nearest-rank percentile.
/// @param[in] sorted values in ascending order
/// @param[in] share  0 to 1
/// @return the smallest value that at least this share of the values does not exceed; zero without values
[[nodiscard]] std::chrono::microseconds percentile(const std::vector<std::chrono::microseconds>& sorted, double share);

} // namespace poplarport::load
