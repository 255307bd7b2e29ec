#include "result.hpp"

#include <algorithm> // max, min, ranges::find, ranges::nth_element
#include <cstddef>   // size_t
#include <cstdio>    // printf

namespace poplarport::bench
{

namespace
{

constexpr double greatest_part_of_round_robin = 0.5;
constexpr double greatest_ratio_to_central = 1.15;
constexpr double greatest_measuring_part = 0.02;
constexpr double load_of_central_goal = 0.8;

double in_milliseconds(core::duration value)
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

const policy_result& named(const std::vector<policy_result>& results, const std::string& policy)
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

void policy_result::add_answer(const scenario& value, const arrival& call, core::time_point answered_at)
{
    if (call.at < value.fault_at)
    {
        return;
    }
    const core::duration taken = answered_at - call.at;
    this->latencies.push_back(in_milliseconds(taken));
    ++(taken <= value.deadline ? this->in_time : this->late);
}

void policy_result::add_failure(const scenario& value, const arrival& call, core::time_point failed_at)
{
    if (call.at < value.fault_at)
    {
        return;
    }
    this->latencies.push_back(in_milliseconds(std::max(value.deadline, failed_at - call.at)));
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
    this->highest_window = std::max(this->highest_window, other.highest_window);
    this->measured += other.measured;
}

double policy_result::percentile(double part) const
{
    if (this->latencies.empty())
    {
        return 0.0;
    }
    std::vector<double> sorted = this->latencies;
    const auto position = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(position, sorted.size() - 1));
    std::ranges::nth_element(sorted, middle);
    return *middle;
}

double policy_result::measuring_part() const
{
    const auto calls = static_cast<double>(std::max<std::size_t>(this->latencies.size(), 1));
    return static_cast<double>(this->measuring_bytes) / (calls * static_cast<double>(size::call));
}

int print_results(const scenario& value, const std::vector<policy_result>& results)
{
    std::printf("%s\n", value.name.c_str());
    std::printf("  %-14s %8s %8s %8s %10s %8s %8s %9s %9s\n", "policy", "p50 ms", "p99 ms", "p99.9 ms", "goodput/s",
                "late", "refused", "msgs/call", "B/call");
    for (const policy_result& item : results)
    {
        const auto calls = static_cast<double>(std::max<std::size_t>(item.latencies.size(), 1));
        const double seconds = std::chrono::duration<double>{item.measured}.count();
        std::printf("  %-14s %8.2f %8.2f %8.2f %10.1f %8llu %8llu %9.3f %9.2f\n", item.policy.c_str(),
                    item.percentile(0.5), item.percentile(0.99), item.percentile(0.999),
                    static_cast<double>(item.in_time) / seconds, static_cast<unsigned long long>(item.late),
                    static_cast<unsigned long long>(item.failed), static_cast<double>(item.measuring_messages) / calls,
                    static_cast<double>(item.measuring_bytes) / calls);
    }
    const policy_result& own = named(results, "poplarport");
    int missed = 0;
    if (value.what == fault::straggler || value.what == fault::load_step)
    {
        const double ratio = own.percentile(0.99) / named(results, "round robin").percentile(0.99);
        missed += print_goal("p99 relative to round robin", ratio, greatest_part_of_round_robin);
    }
    if (value.what == fault::none && value.reports == report_fault::none && value.load == load_of_central_goal)
    {
        const double ratio = own.percentile(0.99) / named(results, "central queue").percentile(0.99);
        missed += print_goal("p99 relative to the central queue", ratio, greatest_ratio_to_central);
    }
    missed += print_goal("measuring bytes relative to the calls' bytes", own.measuring_part(), greatest_measuring_part);
    missed += print_goal("greatest use of a node's budget in any second", own.highest_window, 1.0);
    return missed;
}

} // namespace poplarport::bench
