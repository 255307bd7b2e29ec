#pragma once

#include <chrono>   // microseconds, milliseconds
#include <cstdint>  // uint32_t
#include <optional> // optional

#include "poplarport/core/time.hpp"

namespace poplarport::attempts
{

/// @brief Properties of a request that are fixed before its first attempt.
struct call_request
{
    bool repeatable{false};                    ///< the manifest permits the request to run more than once
    core::time_point deadline;                 ///< time by which the caller needs the response
    std::uint32_t depth{0};                    ///< number of enclosing calls; `poplar-depth` of the incoming request
    std::uint32_t attempt_number{1};           ///< `poplar-attempt` of the incoming request, 1 for a first attempt
    std::optional<core::duration> hedge_delay; ///< delay before a hedge, or nothing to disable hedging
};

/// @brief Limits for the attempts of a call.
struct call_limits
{
    /// Maximum `poplar-attempt` on the path of a request. Nested calls inherit the number, so with the default a path
    /// has at most two extra attempts regardless of its length.
    std::uint32_t attempts{3};
    /// Maximum depth at which a call is retried or hedged. With three attempts, at most 15 attempts reach the last of
    /// 12 levels.
    std::uint32_t depth{3};
    /// Part of the retry budget that hedges may use; the rest is left for retries after failures.
    double hedge_budget_fraction{1.0};
    /// Minimum remaining time for which another attempt starts.
    core::duration minimum_time_left{std::chrono::microseconds{500}};
    /// Maximum number of retries after proof that no upstream received the request. They are sent immediately, do not
    /// draw on the retry budget and do not count as attempts, because no upstream sees the attempt that they replace.
    std::uint32_t free_retries{0};
    /// Whether the single free redirect is also used after a refusal by the upstream itself.
    bool redirects_after_shed{true};
    /// Upper bound of the random delay before the second retry; doubles with each further retry.
    core::duration backoff{std::chrono::milliseconds{1}};
};

} // namespace poplarport::attempts
