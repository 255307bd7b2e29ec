#pragma once

#include <cstdint>  // uint32_t
#include <optional> // optional
#include <random>   // mt19937_64

#include "poplarport/core/time.hpp"

namespace poplarport::admission
{

/// @brief Computes when the caller of a refused request should return.
///
/// The time is that at which a place can be expected. It is spread, because callers that were refused together would
/// otherwise return together and be refused again, and it is longer for less urgent requests, so that they leave the
/// first free places to the urgent ones.
/// @param[in]     expected_wait expected wait for a place, or nothing if it is not known
/// @param[in]     priority      rank of the request; 0 is the most urgent
/// @param[in,out] random        source of the spread
/// @return the delay, at least 50 ms
[[nodiscard]] core::duration retry_after(std::optional<core::duration> expected_wait, std::uint32_t priority,
                                         std::mt19937_64& random);

} // namespace poplarport::admission
