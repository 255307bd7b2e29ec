#pragma once

#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include "poplarport/core/time.hpp"
#include "scenario.hpp"

namespace poplarport::bench
{

/// @brief Measurements of a policy in one scenario.
struct policy_result
{
    std::string policy;
    std::vector<double> latencies;       ///< in ms; a failed call counts with its deadline or more
    std::uint64_t in_time{0};            ///< calls answered within their deadline
    std::uint64_t failed{0};             ///< calls refused to the caller
    std::uint64_t late{0};               ///< calls answered after their deadline
    std::uint64_t measuring_messages{0}; ///< messages sent only to measure load
    std::uint64_t measuring_bytes{0};    ///< of these messages and of the reports in responses
    double max_budget_use{0.0};          ///< maximum fraction of a node's budget used in any second
    core::duration measured_time{0};     ///< time span of the measured arrivals

    /// @brief Counts an answered call.
    void add_response(const scenario& tested, const arrival& call, core::time_point response_at);

    /// @brief Counts a call that ended without a response.
    void add_failure(const scenario& tested, const arrival& call, core::time_point failed_at);

    /// @brief Adds the result of the same policy with another seed.
    void merge(const policy_result& other);

    /// @return the latency in ms below which a fraction of the calls ended
    [[nodiscard]] double percentile(double fraction) const;

    /// @return measuring bytes as a fraction of the bytes of the calls
    [[nodiscard]] double measuring_fraction() const;
};

/// @brief Bytes of a call's request and response, and of the messages that measure load.
namespace size
{
constexpr std::uint64_t call = 1024 + 2048;
constexpr std::uint64_t report = 36;      ///< header field of a response
constexpr std::uint64_t hint = 60 + 28;   ///< CBOR datagram, UDP and IP headers
constexpr std::uint64_t probe = 2 * hint; ///< request and response
} // namespace size

/// @brief Baselines that select one endpoint per call; the queues of the endpoints are unbounded.
enum class baseline
{
    random,
    round_robin,
    least_of_two
};

/// @brief Runs a baseline.
[[nodiscard]] policy_result run_baseline(baseline kind, const scenario& tested, const std::vector<arrival>& arrivals,
                                         std::uint64_t seed);

/// @brief Runs a central queue with complete advance information on slots, service times and faults.
[[nodiscard]] policy_result run_central(const scenario& tested, const std::vector<arrival>& arrivals);

/// @brief Runs the project's router and gate.
[[nodiscard]] policy_result run_poplarport(const scenario& tested, const std::vector<arrival>& arrivals,
                                           std::uint64_t seed);

/// @brief Prints the results of a scenario and compares them with the goals.
/// @return the number of goals that are not met
int print_results(const scenario& tested, const std::vector<policy_result>& results);

} // namespace poplarport::bench
