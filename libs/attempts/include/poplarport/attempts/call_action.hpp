#pragma once

#include <cstdint>      // uint32_t
#include <optional>     // optional
#include <system_error> // error_code
#include <variant>      // variant
#include <vector>       // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/outcome.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::attempts
{

/// @brief Number of an attempt within its call, from zero.
using attempt_id = std::uint32_t;

/// @brief Parameters of an attempt that is about to start.
struct start_parameters
{
    attempt_id attempt{0};
    std::vector<core::node_id> excluded;             ///< endpoints that were already tried
    std::optional<core::node_id> preferred_endpoint; ///< endpoint to which a receiver redirected the call
    core::duration time_left{0};                     ///< sent as `poplar-time-left-us`
    std::uint32_t attempt_number{1};                 ///< sent as `poplar-attempt`
    std::uint32_t depth{0};                          ///< sent as `poplar-depth`
};

/// @brief Start an attempt: pick an endpoint and send the request to it.
struct start_attempt
{
    start_parameters parameters;
};

/// @brief Start an attempt in parallel with the one in progress.
struct start_hedge
{
    start_parameters parameters;
};

/// @brief Reset the stream of an attempt whose response is no longer needed.
struct cancel_attempt
{
    attempt_id attempt{0};
};

/// @brief Forward the response header of this attempt to the caller, and then its body.
struct forward_response_header
{
    attempt_id attempt{0};
};

/// @brief The call has ended; emitted exactly once.
struct finish
{
    core::outcome outcome{core::outcome::unknown};
    std::error_code code;       ///< how the last attempt ended; empty for `answered`
    std::error_code stopped_by; ///< why no further attempt was made; empty if none was needed
};

/// @brief An action that the owner of a call must perform.
using call_action = std::variant<start_attempt, start_hedge, cancel_attempt, forward_response_header, finish>;

/// @brief Actions in the order in which they must be performed.
using call_actions = std::vector<call_action>;

} // namespace poplarport::attempts
