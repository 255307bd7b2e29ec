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
    std::span<const core::node_id> tried; ///< endpoints that this request already tried; they are not chosen again
};

/// @brief Why an endpoint was chosen.
enum class pick_reason
{
    score,           ///< best score among the candidates
    idle_hint,       ///< best score, by a valid idle hint that is now used up
    straggler_probe, ///< a call that finds out whether a marked straggler has recovered
    last_resort      ///< all endpoints left are marked as stragglers or failed
};

/// @brief The endpoint that handles a request.
struct choice
{
    std::shared_ptr<const endpoint> target; ///< stays valid when the router's endpoints change
    pick_reason reason{pick_reason::score};
    core::duration expected_wait{0}; ///< estimated wait for a slot, with the extra travel to another zone
};

} // namespace poplarport::routing
