#pragma once

#include <chrono>  // milliseconds
#include <cstdint> // uint32_t, uint64_t
#include <string>  // string
#include <vector>  // vector

namespace poplarport::manifest
{

/// @brief Requests that an upstream may run more than once without harm.
struct repeatable_rule
{
    std::vector<std::string> methods; ///< HTTP methods, upper case
    std::string path_prefix;          ///< whole path segments, for example `/quotes`

    bool operator==(const repeatable_rule&) const = default;
};

/// @brief Rules for each upstream of a service.
struct upstream_rules
{
    std::uint32_t slots{1};                         ///< requests that one upstream runs at once
    std::uint32_t connection_limit{1};              ///< greatest number of connections to one upstream
    std::uint32_t queue_length{0};                  ///< requests that may wait for a slot of one upstream
    std::chrono::milliseconds default_deadline{0};  ///< deadline of a request that names none
    std::chrono::milliseconds greatest_deadline{0}; ///< longer deadlines are reduced to this one
    std::chrono::milliseconds cold_start_ramp{0};   ///< time from one slot to all slots after a start
    std::chrono::milliseconds drain_time{0};        ///< longest wait for requests in flight at a planned stop
    std::uint64_t header_limit_bytes{0};            ///< greatest size of a request's header
    std::uint64_t body_limit_bytes{0};              ///< greatest size of a request's body
    std::vector<repeatable_rule> repeatable;        ///< requests that may be repeated; all others may not

    bool operator==(const upstream_rules&) const = default;
};

} // namespace poplarport::manifest
