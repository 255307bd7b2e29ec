#pragma once

#include <chrono>  // milliseconds
#include <cstdint> // uint32_t, uint64_t
#include <string>  // string
#include <vector>  // vector

#include "poplarport/manifest/upstream_rules.hpp"

namespace poplarport::manifest
{

/// @brief Name of the traffic class of requests that match no rule.
inline constexpr const char* default_class_name = "default";

/// @brief A class of requests, matched either by path prefix or by header field.
struct traffic_class
{
    std::string name;         ///< name in metrics and in `poplar-class`
    std::uint32_t weight{1};  ///< share of the slots, relative to the other classes
    std::string path_prefix;  ///< whole path segments; empty for a class matched by header field
    std::string header;       ///< name of a header field; empty for a class matched by path
    std::string header_value; ///< exact value of the field

    bool operator==(const traffic_class&) const = default;
};

/// @brief Limits of one admitted tenant. The rate applies on each entry node separately.
struct tenant_limits
{
    std::string tenant;               ///< name of the tenant
    std::uint32_t rate_per_second{0}; ///< sustained request rate
    std::uint32_t burst{0};           ///< requests allowed in a burst above the rate
    std::uint32_t share_weight{1};    ///< share of the slots under contention, relative to the other tenants
    std::uint32_t concurrency{0};     ///< maximum number of requests in flight

    bool operator==(const tenant_limits&) const = default;
};

/// @brief Rules for retries and hedges of a call.
struct attempt_rules
{
    std::uint32_t retry_budget_per_mille{0};  ///< retries and hedges per thousand calls
    std::chrono::milliseconds hedge_delay{0}; ///< delay before a second attempt of a repeatable call; 0: no hedging

    bool operator==(const attempt_rules&) const = default;
};

/// @brief Budget for load measurement on each node.
struct measuring_rules
{
    std::uint64_t bytes_per_second{0};         ///< bytes for probes, hints and reports
    std::uint32_t processor_time_per_mille{0}; ///< processor time in thousandths of a core

    bool operator==(const measuring_rules&) const = default;
};

struct service
{
    std::string name;                              ///< unique name
    std::vector<std::string> hosts;                ///< values of the `Host` field besides the name, lower case
    std::vector<std::string> calls;                ///< services that this one calls
    upstream_rules upstream;                       ///< rules for each upstream
    std::vector<traffic_class> classes;            ///< in order of declaration
    std::vector<tenant_limits> tenants;            ///< admitted tenants, sorted by name
    attempt_rules attempts;                        ///< retries and hedges
    measuring_rules measuring;                     ///< budget for load measurement
    std::uint32_t tail_latency_weight_per_mille{}; ///< 1000: only tail latency counts; 0: only measuring cost

    bool operator==(const service&) const = default;
};

} // namespace poplarport::manifest
