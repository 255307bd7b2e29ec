#pragma once

#include <chrono>  // microseconds
#include <cstdint> // uint32_t

namespace poplarport::core
{

/// @brief Load of one endpoint as its node sees it; travels on every answer between nodes.
struct load_report
{
    std::uint32_t slots{0};                    ///< requests that the upstream runs at once
    std::uint32_t in_flight{0};                ///< requests dispatched to the upstream and not finished
    std::uint32_t queued{0};                   ///< requests admitted and waiting for a slot
    std::chrono::microseconds service_time{0}; ///< moving average of the upstream's service time
    bool draining{false};                      ///< the endpoint takes no new work
    std::uint32_t slowdown_percent{100};       ///< present duration of work on the VM, 100 for its usual speed

    bool operator==(const load_report&) const = default;
};

} // namespace poplarport::core
