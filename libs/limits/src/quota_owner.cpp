#include "poplarport/limits/quota_owner.hpp"

#include <algorithm> // clamp, max, min
#include <chrono>    // duration, milliseconds
#include <cmath>     // sqrt

namespace poplarport::limits
{

namespace
{

// A node with demand reports several times within this time. One that does not is cut off or lost; if it is cut off, it
// continues to admit as before.
constexpr std::chrono::milliseconds report_timeout{1000};

// Time after the last refusal for which all nodes are told the decision, so that they learn of its end.
constexpr std::chrono::milliseconds restriction_time{2000};

// Time over which what the bucket holds is given out or paid back: two intervals between reports.
constexpr double balance_seconds = 0.5;

// Time over which the demand of a node is averaged.
constexpr double averaging_seconds = 1.0;
constexpr double min_interval_seconds = 0.001;

// A number of arrivals that lies so many standard deviations from the average is a jump or a fall.
constexpr double chance_deviations = 2.0;

} // namespace

quota_decision quota_owner::on_report(const core::node_id& node, const quota_report& report, const quota& limit,
                                      double reachable, core::time_point now)
{
    const auto [position, is_new] = this->states.try_emplace(report.tenant);
    auto& state = position->second;
    if (is_new)
    {
        state.filled_at = now;
        state.owned_since = now;
    }
    quota_owner::record(state.nodes[node], report, now);
    const double visible = quota_owner::visible_part(state, reachable, now);
    quota_owner::fill_bucket(state, limit, visible, now);
    state.tokens -= report.admitted;

    const auto demand = quota_owner::sum_up(state, now);
    const double available = std::max(limit.rate_per_second * visible + state.tokens / balance_seconds, 0.0);
    quota_decision result;
    result.tenant = report.tenant;
    result.fraction = demand.live > available ? available / demand.live : 1.0;
    if (const double total = demand.live + demand.lost; total > 0.0)
    {
        result.part = state.nodes[node].demand / total * visible;
    }
    if (result.fraction < 1.0)
    {
        const double missing = std::max(1.0 - state.tokens, 0.0);
        result.wait =
            std::chrono::duration_cast<core::duration>(std::chrono::duration<double>{missing / limit.rate_per_second});
        state.restricted_at = now;
    }
    state.latest = result;
    return result;
}

std::vector<quota_decision> quota_owner::restrictions(core::time_point now) const
{
    std::vector<quota_decision> result;
    for (const auto& [tenant, state] : this->states)
    {
        if (state.restricted_at != core::time_point::min() && now - state.restricted_at < restriction_time)
        {
            result.push_back(state.latest);
            result.back().part = 0.0;
        }
    }
    return result;
}

void quota_owner::record(node_state& reporter, const quota_report& report, core::time_point now)
{
    const double seconds = std::max(std::chrono::duration<double>(report.interval).count(), min_interval_seconds);
    const double weight = std::min(seconds / averaging_seconds, 1.0);
    const bool is_outdated = now - reporter.reported_at >= report_timeout;
    const auto average = [=](double previous, std::uint32_t count)
    {
        const double latest = count / seconds;
        return is_outdated ? latest * weight : previous + (latest - previous) * weight;
    };
    reporter.latest_demand = report.arrivals / seconds;
    reporter.latest_variance = report.arrivals / (seconds * seconds);
    reporter.is_idle = report.arrivals == 0;
    // What an idle node had counts until it is outdated: a node with few requests has intervals without any.
    reporter.demand = reporter.is_idle ? reporter.demand : average(reporter.demand, report.arrivals);
    reporter.admitted = reporter.is_idle ? reporter.admitted : average(reporter.admitted, report.admitted);
    if (reporter.reported_at == core::time_point{})
    {
        // Later reports repeat what this owner has stated itself.
        reporter.part = report.part;
    }
    reporter.reported_at = now;
}

quota_owner::demand_sum quota_owner::sum_up(const tenant_state& state, core::time_point now)
{
    demand_sum result;
    const double interval = std::chrono::duration<double>(quota_report_interval).count();
    double latest = 0.0;
    double variance = 1.0 / (interval * interval);
    for (const auto& [id, each] : state.nodes)
    {
        const auto silence = now - each.reported_at;
        if (silence < report_timeout)
        {
            result.live += each.demand;
            latest += each.latest_demand;
            variance += each.latest_variance;
        }
        else if (!each.is_idle && silence < quota_memory)
        {
            result.lost += each.demand;
            result.admitted += each.admitted;
        }
    }
    // A jump or a fall counts before the average shows it, if it is larger than the chance variation of so many
    // arrivals.
    const double variation = chance_deviations * std::sqrt(variance);
    result.live = std::clamp(result.live, std::max(latest - variation, 0.0), latest + variation);
    return result;
}

void quota_owner::drop_idle(core::time_point now)
{
    for (auto& [tenant, state] : this->states)
    {
        std::erase_if(state.nodes, [now](const auto& each) { return now - each.second.reported_at > quota_memory; });
    }
    std::erase_if(this->states, [](const auto& each) { return each.second.nodes.empty(); });
}

// An owner that has taken over sees only the nodes on its side of a partition; the other side has an owner too. Until
// this one knows the demand for itself, it gives out no more than the parts that its nodes had.
double quota_owner::visible_part(const tenant_state& state, double reachable, core::time_point now)
{
    if (now - state.owned_since > quota_memory)
    {
        return 1.0;
    }
    double sum = 0.0;
    for (const auto& [id, each] : state.nodes)
    {
        sum += each.part;
    }
    return sum > 0.0 ? std::clamp(std::max(sum, reachable), 0.0, 1.0) : reachable;
}

void quota_owner::fill_bucket(tenant_state& state, const quota& limit, double visible, core::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - state.filled_at).count();
    state.filled_at = now;
    state.tokens += elapsed * (limit.rate_per_second * visible - quota_owner::sum_up(state, now).admitted);
    state.tokens = std::min(state.tokens, limit.burst * visible);
}

} // namespace poplarport::limits
