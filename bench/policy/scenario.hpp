#pragma once

#include <chrono>  // milliseconds, seconds
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include "poplarport/core/load_report.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::bench
{

/// @brief The fault injected in a scenario.
enum class fault
{
    none,
    straggler,  ///< the first endpoint takes ten times the service time from `fault_at` on
    drain,      ///< the first endpoint drains from `fault_at` on; membership lists it for one more second
    cold_start, ///< the last endpoint joins at `fault_at`, at first with five times the service time, over one second
    load_step   ///< the load rises to `step_load` within 5 ms from `fault_at` on
};

/// @brief The fault injected in load reports.
enum class report_fault
{
    none,
    late, ///< each report arrives 200 ms after the response or hint that carries it
    wrong ///< the first two endpoints always report no load and half of their service time
};

/// @brief One case of the benchmark.
struct scenario
{
    std::string name;
    std::size_t endpoints{7};
    std::size_t slots{9};
    std::size_t zones{4};
    core::duration cross_zone_latency{std::chrono::microseconds{500}}; ///< between zones
    core::duration mean_service_time{std::chrono::milliseconds{10}};
    bool has_uniform_service_time{false}; ///< uniform from 0.5 to 1.5 of the mean, not exponential
    double load{0.8};                     ///< fraction of all slots in use
    double tail_latency_weight{3.0};      ///< the first operator prioritises tail latency
    double measuring_cost_weight{1.0};
    fault injected_fault{fault::none};
    report_fault injected_report_fault{report_fault::none};
    double step_load{0.95};
    core::time_point fault_at{std::chrono::seconds{1}};      ///< calls that arrive from here on are measured
    core::time_point end{std::chrono::seconds{11}};          ///< no call arrives after this instant
    core::duration deadline{std::chrono::milliseconds{250}}; ///< from the arrival to the end of the response

    /// @return the latency from the node of a sender to the node of an endpoint
    [[nodiscard]] core::duration network_latency(std::size_t sender, std::size_t endpoint) const noexcept;

    /// @return the factor on the service time of a call that starts at an instant
    [[nodiscard]] double slowdown_factor(std::size_t endpoint, core::time_point now) const noexcept;

    /// @return whether an endpoint accepts calls
    [[nodiscard]] bool accepts_calls(std::size_t endpoint, core::time_point now) const noexcept;

    /// @return whether membership lists an endpoint as one that accepts calls
    [[nodiscard]] bool is_listed(std::size_t endpoint, core::time_point now) const noexcept;

    /// @return the arrivals per second of all senders
    [[nodiscard]] double rate(core::time_point now) const noexcept;

    /// @return the report with the injected fault applied
    [[nodiscard]] core::load_report apply_report_fault(std::size_t endpoint, core::load_report report) const noexcept;

    /// @return the delay of a report in addition to the network latency
    [[nodiscard]] core::duration report_delay() const noexcept;
};

/// @brief A call that arrives at a sender.
struct arrival
{
    core::time_point at;
    std::size_t sender;
    core::duration service_time; ///< on an endpoint without a slowdown
};

/// @return the arrivals of a scenario, the same for the same seed
[[nodiscard]] std::vector<arrival> make_arrivals(const scenario& tested, std::uint64_t seed);

/// @return all cases of the benchmark
[[nodiscard]] std::vector<scenario> all_scenarios();

} // namespace poplarport::bench
