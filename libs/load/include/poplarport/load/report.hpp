#pragma once

#include <chrono>  // microseconds
#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

#include "poplarport/load/plan.hpp"
#include "poplarport/load/runner.hpp"

namespace poplarport::load
{

/// @brief Outcome counts of a group of calls, and the latencies of those answered.
struct group_summary
{
    std::string tenant{}; ///< empty for all tenants
    std::string kind{};   ///< empty for all kinds
    std::string phase{};  ///< empty for all phases
    std::size_t answered{0};
    std::size_t not_run{0};
    std::size_t unknown{0};
    std::size_t refused{0};
    std::size_t body_mismatches{0};
    std::vector<std::chrono::microseconds> latencies{}; ///< of answered calls, in ascending order

    /// @return the number of calls in the group
    [[nodiscard]] std::size_t calls() const noexcept
    {
        return this->answered + this->not_run + this->unknown + this->refused;
    }
};

/// @brief One bucket of a latency histogram.
struct histogram_bucket
{
    std::chrono::microseconds upper{0}; ///< maximum latency in the bucket
    std::size_t count{0};
};

/// @brief Measurements of the calls scheduled in one second.
struct second_summary
{
    std::size_t second{0}; ///< index from the start of the run, by scheduled time
    std::size_t calls{0};
    std::size_t answered{0};
    std::chrono::microseconds p50{0};
    std::chrono::microseconds p99{0};
};

struct report
{
    std::string name{};
    group_summary total{};
    std::vector<group_summary> phases{};
    std::vector<group_summary> groups{}; ///< by tenant and kind
    std::vector<second_summary> seconds{};
    /// Calls that were neither due nor in progress during a pause of the load tool, or while the calls that became
    /// overdue in it were in progress.
    group_summary undisturbed{};
    std::vector<run_pause> pauses{};
};

/// @return the report of a run
[[nodiscard]] report summarise(const plan& run_plan, const std::vector<call_sample>& samples,
                               const std::vector<run_pause>& pauses);

/// @brief Counts latencies in buckets whose upper bounds grow by a factor of the fourth root of two.
///
/// Bounds are whole microseconds; empty buckets are left out.
/// @param[in] sorted latencies in ascending order
[[nodiscard]] std::vector<histogram_bucket> histogram(const std::vector<std::chrono::microseconds>& sorted);

/// @return the report as plain text for a terminal
[[nodiscard]] std::string to_text(const report& run_report);

/// @return the report as a JSON object
[[nodiscard]] std::string to_json(const report& run_report);

/// @return the report as an SVG plot of the latency percentiles and of the 50th and 99th percentile of each second
[[nodiscard]] std::string to_svg(const report& run_report);

} // namespace poplarport::load
