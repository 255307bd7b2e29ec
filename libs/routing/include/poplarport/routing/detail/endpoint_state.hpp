#pragma once

#include <cstdint> // uint32_t
#include <memory>  // shared_ptr

#include "poplarport/core/load_report.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/measuring/duration_estimator.hpp"
#include "poplarport/routing/endpoint.hpp"

namespace poplarport::routing::detail
{

/// @brief State that a router holds for one endpoint.
struct endpoint_state
{
    std::shared_ptr<const endpoint> target;
    core::duration network_latency{0};      ///< extra round trip to another zone; zero within the local zone
    core::time_point added_at;              ///< start of the cold-start ramp
    bool is_cold{false};                    ///< joined after the router's first list, or has restarted
    bool is_draining{false};                ///< announced or reported; not reset within an incarnation
    bool is_suspect{false};                 ///< see endpoint::suspect
    core::load_report report;               ///< newest report; its slots are zero if none has arrived
    core::time_point reported_at;           ///< when the report arrived
    core::time_point slowdown_reported_at;  ///< when the report's `slowdown_percent` was last received
    std::uint32_t local_calls_at_report{0}; ///< local calls in flight when the report arrived
    double report_confidence{1.0};          ///< from 0 to 1; reduced by refusals that the reports did not predict
    measuring::duration_estimator latency;  ///< of local calls, without network latency
    std::uint32_t responses{0}; ///< responses to local calls since the straggler flag expired; evidence for flagging
    double redirected{0.0};     ///< calls redirected to the endpoint; decays with the service time
    core::time_point redirected_at; ///< when `redirected` was last updated
    bool has_hint{false};           ///< an idle hint has not been used yet
    core::time_point hint_until;
    core::time_point flagged_until;        ///< expiry of the straggler flag
    core::time_point next_straggler_probe; ///< earliest time of the next call that probes a flagged straggler
    bool has_straggler_probe{false};       ///< such a probe call is in flight
    std::uint32_t flag_count{0};           ///< times flagged in a row without a recovery
    core::time_point failed_until;         ///< end of the backoff
    std::uint32_t failures{0};             ///< consecutive failures without a response
    core::time_point probed_at;            ///< when `next_probe` last returned the endpoint

    /// @return local calls in flight
    [[nodiscard]] std::uint32_t in_flight() const noexcept
    {
        return this->latency.in_progress();
    }
};

} // namespace poplarport::routing::detail
