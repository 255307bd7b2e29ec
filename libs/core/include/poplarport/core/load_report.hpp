#pragma once

#include <chrono>  // microseconds
#include <cstdint> // uint32_t

namespace poplarport::core
{

/// @brief Load of one endpoint as measured by its node; sent with every response between nodes.
struct load_report
{
    std::uint32_t slots{0};                    ///< requests that the upstream runs concurrently
    std::uint32_t in_flight{0};                ///< requests dispatched to the upstream and unfinished
    std::uint32_t queued{0};                   ///< requests admitted and waiting for a slot
    std::chrono::microseconds service_time{0}; ///< moving average of the upstream's service time
    bool draining{false};                      ///< the endpoint accepts no new work
    /// current duration of work on the VM as a percentage of its usual duration; 100 for no slowdown
    std::uint32_t slowdown_percent{100};

    bool operator==(const load_report&) const = default;
};

} // namespace poplarport::core
