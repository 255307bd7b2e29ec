#include "result.hpp"

#include <algorithm> // max, min, ranges::find, ranges::nth_element
#include <cstddef>   // size_t
#include <cstdio>    // printf

namespace poplarport::bench
{

namespace
{

constexpr double max_ratio_to_round_robin = 0.5;
constexpr double max_ratio_to_central = 1.15;
constexpr double max_measuring_fraction = 0.02;
constexpr double load_of_central_goal = 0.8;

double in_milliseconds(core::duration duration)
{
    return std::chrono::duration<double, std::milli>{duration}.count();
}

const policy_result& result_of(const std::vector<policy_result>& results, const std::string& policy)
{
    return *std::ranges::find(results, policy, &policy_result::policy);
}

int print_goal(const char* text, double measured, double bound)
{
    const bool is_met = measured <= bound;
    std::printf("  goal %-44s %8.3f <= %5.3f  %s\n", text, measured, bound, is_met ? "met" : "NOT MET");
    return is_met ? 0 : 1;
}

} // namespace

void policy_result::add_response(const scenario& tested, const arrival& call, core::time_point response_at)
{
    if (call.at < tested.fault_at)
    {
        return;
    }
    const core::duration latency = response_at - call.at;
    this->latencies.push_back(in_milliseconds(latency));
    ++(latency <= tested.deadline ? this->in_time : this->late);
}

void policy_result::add_failure(const scenario& tested, const arrival& call, core::time_point failed_at)
{
    if (call.at < tested.fault_at)
    {
        return;
    }
    this->latencies.push_back(in_milliseconds(std::max(tested.deadline, failed_at - call.at)));
    ++this->failed;
}

void policy_result::merge(const policy_result& other)
{
    this->latencies.insert(this->latencies.end(), other.latencies.begin(), other.latencies.end());
    this->in_time += other.in_time;
    this->failed += other.failed;
    this->late += other.late;
    this->measuring_messages += other.measuring_messages;
    this->measuring_bytes += other.measuring_bytes;
    this->max_budget_use = std::max(this->max_budget_use, other.max_budget_use);
    this->measured_time += other.measured_time;
}

double policy_result::percentile(double fraction) const
{
    if (this->latencies.empty())
    {
        return 0.0;
    }
    std::vector<double> sorted = this->latencies;
    const auto position = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(position, sorted.size() - 1));
    std::ranges::nth_element(sorted, middle);
    return *middle;
}

double policy_result::measuring_fraction() const
{
    const auto calls = static_cast<double>(std::max<std::size_t>(this->latencies.size(), 1));
    return static_cast<double>(this->measuring_bytes) / (calls * static_cast<double>(size::call));
}

int print_results(const scenario& tested, const std::vector<policy_result>& results)
{
    std::printf("%s\n", tested.name.c_str());
    std::printf("  %-14s %8s %8s %8s %10s %8s %8s %9s %9s\n", "policy", "p50 ms", "p99 ms", "p99.9 ms", "goodput/s",
                "late", "refused", "msgs/call", "B/call");
    for (const policy_result& result : results)
    {
        const auto calls = static_cast<double>(std::max<std::size_t>(result.latencies.size(), 1));
        const double seconds = std::chrono::duration<double>{result.measured_time}.count();
        std::printf("  %-14s %8.2f %8.2f %8.2f %10.1f %8llu %8llu %9.3f %9.2f\n", result.policy.c_str(),
                    result.percentile(0.5), result.percentile(0.99), result.percentile(0.999),
                    static_cast<double>(result.in_time) / seconds, static_cast<unsigned long long>(result.late),
                    static_cast<unsigned long long>(result.failed),
                    static_cast<double>(result.measuring_messages) / calls,
                    static_cast<double>(result.measuring_bytes) / calls);
    }
    const policy_result& poplarport_result = result_of(results, "poplarport");
    int missed = 0;
    if (tested.injected_fault == fault::straggler || tested.injected_fault == fault::load_step)
    {
        const double ratio = poplarport_result.percentile(0.99) / result_of(results, "round robin").percentile(0.99);
        missed += print_goal("p99 relative to round robin", ratio, max_ratio_to_round_robin);
    }
    if (tested.injected_fault == fault::none && tested.injected_report_fault == report_fault::none &&
        tested.load == load_of_central_goal)
    {
        const double ratio = poplarport_result.percentile(0.99) / result_of(results, "central queue").percentile(0.99);
        missed += print_goal("p99 relative to the central queue", ratio, max_ratio_to_central);
    }
    missed += print_goal("measuring bytes relative to the calls' bytes", poplarport_result.measuring_fraction(),
                         max_measuring_fraction);
    missed += print_goal("greatest use of a node's budget in any second", poplarport_result.max_budget_use, 1.0);
    return missed;
}

} // namespace poplarport::bench
