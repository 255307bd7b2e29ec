#include "result.hpp"

#include <algorithm> // max

namespace poplarport::bench
{

// Each call takes, in the order of arrival, the slot on which it ends first. A slot is not held while a call travels to
// it. No real policy can do this, so it is the lower limit.
policy_result run_central(const scenario& value, const std::vector<arrival>& arrivals)
{
    policy_result result{.policy = "central queue", .latencies = {}};
    result.measured = value.end - value.fault_at;
    std::vector<std::vector<core::time_point>> free_at(value.endpoints, std::vector<core::time_point>(value.slots));
    for (const arrival& call : arrivals)
    {
        core::time_point* chosen = nullptr;
        core::time_point chosen_end = core::time_point::max();
        core::time_point chosen_answer = core::time_point::max();
        for (std::size_t endpoint = 0; endpoint < value.endpoints; ++endpoint)
        {
            const core::duration network_latency = value.network_latency(call.sender, endpoint);
            if (!value.is_open(endpoint, call.at + network_latency))
            {
                continue;
            }
            for (core::time_point& slot : free_at[endpoint])
            {
                const core::time_point start = std::max(slot, call.at + network_latency);
                const core::time_point end =
                    start + std::chrono::duration_cast<core::duration>(call.service * value.slowness(endpoint, start));
                if (end + network_latency < chosen_answer)
                {
                    chosen = &slot;
                    chosen_end = end;
                    chosen_answer = end + network_latency;
                }
            }
        }
        *chosen = chosen_end;
        result.add_answer(value, call, chosen_answer);
    }
    return result;
}

} // namespace poplarport::bench
