#pragma once

#include <chrono>  // milliseconds
#include <cstdint> // uint32_t, uint64_t
#include <string>  // string
#include <vector>  // vector

namespace poplarport::manifest
{

/// @brief Requests that can safely be run more than once.
struct repeatable_rule
{
    std::vector<std::string> methods; ///< HTTP methods, upper case
    std::string path_prefix;          ///< whole path segments, for example `/quotes`

    bool operator==(const repeatable_rule&) const = default;
};

/// @brief Rules for each upstream of a service.
struct upstream_rules
{
    std::uint32_t slots{1};                        ///< requests that one upstream runs concurrently
    std::uint32_t connection_limit{1};             ///< maximum number of connections to one upstream
    std::uint32_t queue_length{0};                 ///< maximum number of requests waiting for a slot of one upstream
    std::chrono::milliseconds default_deadline{0}; ///< deadline of a request that states none
    std::chrono::milliseconds max_deadline{0};     ///< maximum deadline; longer ones are reduced to it
    std::chrono::milliseconds cold_start_ramp{0}; ///< time after a start in which the slots in use rise from one to all
    std::chrono::milliseconds drain_time{0};      ///< maximum wait for requests in flight at a planned stop
    std::uint64_t header_limit_bytes{0};          ///< maximum size of a request header section
    std::uint64_t body_limit_bytes{0};            ///< maximum size of a request body
    std::vector<repeatable_rule> repeatable;      ///< requests that may be repeated; no others may

    bool operator==(const upstream_rules&) const = default;
};

} // namespace poplarport::manifest
