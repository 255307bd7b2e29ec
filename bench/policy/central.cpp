#include "result.hpp"

#include <algorithm> // max

namespace poplarport::bench
{

// Assigns each call, in the order of arrival, to the slot on which it ends first. A slot is not occupied during the
// network latency of a call. No real policy can do this, so the result is a lower bound.
policy_result run_central(const scenario& tested, const std::vector<arrival>& arrivals)
{
    policy_result result{.policy = "central queue", .latencies = {}};
    result.measured_time = tested.end - tested.fault_at;
    std::vector<std::vector<core::time_point>> free_at(tested.endpoints, std::vector<core::time_point>(tested.slots));
    for (const arrival& call : arrivals)
    {
        core::time_point* best_slot = nullptr;
        core::time_point best_end = core::time_point::max();
        core::time_point best_response = core::time_point::max();
        for (std::size_t endpoint = 0; endpoint < tested.endpoints; ++endpoint)
        {
            const core::duration network_latency = tested.network_latency(call.sender, endpoint);
            if (!tested.accepts_calls(endpoint, call.at + network_latency))
            {
                continue;
            }
            for (core::time_point& slot : free_at[endpoint])
            {
                const core::time_point start = std::max(slot, call.at + network_latency);
                const core::time_point end = start + std::chrono::duration_cast<core::duration>(
                                                         call.service_time * tested.slowdown_factor(endpoint, start));
                if (end + network_latency < best_response)
                {
                    best_slot = &slot;
                    best_end = end;
                    best_response = end + network_latency;
                }
            }
        }
        *best_slot = best_end;
        result.add_response(tested, call, best_response);
    }
    return result;
}

} // namespace poplarport::bench
