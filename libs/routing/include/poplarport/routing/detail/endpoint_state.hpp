#pragma once

#include <cstdint> // uint32_t
#include <memory>  // shared_ptr

#include "poplarport/core/load_report.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/measuring/duration_estimator.hpp"
#include "poplarport/routing/endpoint.hpp"

namespace poplarport::routing::detail
{

/// @brief What a router knows of one endpoint.
struct endpoint_state
{
    std::shared_ptr<const endpoint> target;
    core::duration travel{0};       ///< round trip to another zone, zero within the zone
    core::time_point added_at;      ///< start of the ramp
    bool is_cold{false};            ///< joined after the router's first list, or restarted
    bool is_draining{false};        ///< announced or reported; sticky for an incarnation
    core::load_report report;       ///< newest report; its slots are zero when none arrived
    core::time_point reported_at;   ///< when the report arrived
    core::time_point speed_at;      ///< when the report's speed of the VM was last told
    std::uint32_t own_at_report{0}; ///< own calls in flight when the report arrived
    double trust{1.0};              ///< in the reports, from 0 to 1; falls with refusals that they did not foretell
    measuring::duration_estimator latency; ///< of own calls, without the travel
    std::uint32_t answers{0};              ///< own calls answered since the mark expired, as evidence for a mark
    double redirected{0.0};                ///< calls redirected to the endpoint, decaying with the service time
    core::time_point redirected_at;        ///< when it was last updated
    bool has_hint{false};                  ///< an idle hint is not used up
    core::time_point hint_until;
    core::time_point marked_until; ///< end of the straggler mark
    core::time_point next_trial;   ///< earliest time of the next call that probes a marked straggler
    bool has_trial{false};         ///< such a call is in flight
    std::uint32_t marks{0};        ///< marks without a recovery between them
    core::time_point failed_until; ///< end of the back-off
    std::uint32_t failures{0};     ///< failures without an answer between them
    core::time_point probed_at;    ///< when `next_probe` last returned the endpoint

    /// @return own calls in flight
    [[nodiscard]] std::uint32_t in_flight() const noexcept
    {
        return this->latency.in_progress();
    }
};

} // namespace poplarport::routing::detail
