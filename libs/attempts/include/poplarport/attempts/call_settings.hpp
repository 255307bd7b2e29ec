#pragma once

#include <chrono>   // microseconds, milliseconds
#include <cstdint>  // uint32_t
#include <optional> // optional

#include "poplarport/core/time.hpp"

namespace poplarport::attempts
{

/// @brief What is known about a request before its first attempt.
struct call_request
{
    bool repeatable{false};                    ///< the manifest allows the request to run more than once
    core::time_point deadline;                 ///< end of the caller's patience
    std::uint32_t depth{0};                    ///< calls above this one; `poplar-depth` of the incoming request
    std::uint32_t attempt_number{1};           ///< `poplar-attempt` of the incoming request, 1 for a first attempt
    std::optional<core::duration> hedge_delay; ///< wait before a hedge, or nothing for no hedge
};

/// @brief Limits for the attempts of a call.
struct call_limits
{
    /// Highest `poplar-attempt` on the path of a request. The number is inherited by the calls below, so a path has
    /// at most two extra attempts whatever its length.
    std::uint32_t attempts{3};
    /// Deepest call that is retried or hedged. With three attempts at most 15 attempts reach the last of 12 levels.
    std::uint32_t depth{3};
    /// Shortest remaining time with which another attempt starts.
    core::duration minimum_time_left{std::chrono::microseconds{500}};
    /// Further attempts after a proof that no upstream received the request. They are sent at once, draw on no budget
    /// and do not count as attempts, because no upstream sees them.
    std::uint32_t free_retries{0};
    /// Whether the one free redirect also follows a refusal by the upstream itself.
    bool redirects_after_shed{true};
    /// Upper bound of the random wait before the second retry; doubles with each further one.
    core::duration backoff{std::chrono::milliseconds{1}};
};

} // namespace poplarport::attempts
