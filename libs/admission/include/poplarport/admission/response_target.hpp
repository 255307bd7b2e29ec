#pragma once

#include <cstdint>  // uint32_t
#include <optional> // optional

#include "poplarport/core/time.hpp"

namespace poplarport::admission
{

/// @brief What decides how long a request is worth waiting for.
struct response_target_request
{
    core::duration target{0};  ///< time from the caller's first attempt within which a response has its full value
    core::duration elapsed{0}; ///< time since the caller's first attempt
    std::uint32_t priority{0}; ///< rank of the request; 0 is the most urgent
    bool is_nested{false};     ///< an upstream makes the call for a request that fails without it
};

/// @brief Returns the time in which a request must be completed, or nothing if only its deadline counts.
///
/// A request that can no longer meet its target gives way to others. The most urgent ones do not, and neither do nested
/// calls: when one of them is refused, all work for the request above it is lost.
[[nodiscard]] inline std::optional<core::duration> response_target(const response_target_request& request) noexcept
{
    if (request.priority == 0 || request.is_nested)
    {
        return std::nullopt;
    }
    return request.target - request.elapsed;
}

} // namespace poplarport::admission
