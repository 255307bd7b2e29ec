#pragma once

#include <memory> // shared_ptr
#include <span>   // span

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/routing/endpoint.hpp"

namespace poplarport::routing
{

/// @brief A request that needs an endpoint.
struct pick_request
{
    std::span<const core::node_id> tried; ///< endpoints already tried for this request; excluded
};

/// @brief Why an endpoint was selected.
enum class pick_reason
{
    score,           ///< best score among the candidates
    idle_hint,       ///< best score because of a valid idle hint, which is now used
    straggler_probe, ///< probe of whether a flagged straggler has recovered
    last_resort      ///< all remaining endpoints are flagged as stragglers or in backoff
};

/// @brief The endpoint that handles a request.
struct choice
{
    std::shared_ptr<const endpoint> target; ///< remains valid when the router's endpoints change
    pick_reason reason{pick_reason::score};
    /// Estimated wait for a slot, including the network latency to another zone and the extra service time on a slowed
    /// VM.
    core::duration expected_wait{0};
    double slowdown{1.0};             ///< expected duration of work on the VM relative to its usual duration
    core::duration slowdown_extra{0}; ///< part of `expected_wait`: the extra service time on a slowed VM
};

} // namespace poplarport::routing
