#pragma once

#include <chrono>  // microseconds
#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

#include "poplarport/load/plan.hpp"
#include "poplarport/load/runner.hpp"

namespace poplarport::load
{

/// @brief Latencies of answered calls and counts of all calls of one group.
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
    std::vector<std::chrono::microseconds> latencies{}; ///< of answered calls, ascending

    /// @return calls of the group
    [[nodiscard]] std::size_t calls() const noexcept
    {
        return this->answered + this->not_run + this->unknown + this->refused;
    }
};

/// @brief One bucket of a latency histogram.
struct histogram_bucket
{
    std::chrono::microseconds upper{0}; ///< greatest latency of the bucket
    std::size_t count{0};
};

/// @brief What was measured in one second of the schedule.
struct second_summary
{
    std::size_t second{0}; ///< from the start of the run, by scheduled time
    std::size_t calls{0};
    std::size_t answered{0};
    std::chrono::microseconds p50{0};
    std::chrono::microseconds p99{0};
};

/// @brief Report of a run.
struct report
{
    std::string name{};
    group_summary total{};
    std::vector<group_summary> phases{};
    std::vector<group_summary> groups{}; ///< by tenant and kind
    std::vector<second_summary> seconds{};
};

/// @brief Summarises the calls of a run.
[[nodiscard]] report summarise(const plan& values, const std::vector<call_sample>& samples);

/// @brief Counts latencies in buckets whose bounds grow by a fixed ratio of the fourth root of two.
[[nodiscard]] std::vector<histogram_bucket> histogram(const std::vector<std::chrono::microseconds>& sorted);

/// @return the report as text for a terminal
[[nodiscard]] std::string to_text(const report& values);

/// @return the report as a JSON object
[[nodiscard]] std::string to_json(const report& values);

/// @return a plot of the percentiles and of the 50th and 99th percentile of each second
[[nodiscard]] std::string to_svg(const report& values);

} // namespace poplarport::load
