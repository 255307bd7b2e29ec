#pragma once

#include <chrono>  // milliseconds, seconds
#include <cstdint> // uint32_t, uint64_t
#include <string>  // string
#include <vector>  // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/tenants/tenant.hpp"

namespace poplarport::routes
{

/// @brief A service that receives a share of a route's requests.
struct destination
{
    std::string service;
    std::uint32_t weight{1}; ///< share of the requests relative to the route's other destinations

    bool operator==(const destination&) const = default;
};

/// @brief Destinations and handling of the requests to a host below a path prefix.
struct route
{
    std::string name;
    std::string host;        ///< lower case, without a port
    std::string path_prefix; ///< begins and ends with a slash
    bool repeatable{false};  ///< requests may run more than once
    std::vector<destination> destinations;
    core::duration timeout{0};         ///< maximum time until the response
    std::uint32_t attempts{1};         ///< maximum number of upstreams to which one request is sent
    core::duration response_target{0}; ///< response time up to which a response has its full value
    std::uint32_t priority{0};         ///< priority; 0 is the most urgent
    bool is_public{false};             ///< requests need no key of a tenant

    bool operator==(const route&) const = default;
};

/// @brief Settings that all upstreams of a service share.
struct service
{
    std::string name;
    std::string health_path;
    std::uint32_t connection_limit{0}; ///< connections that one upstream accepts from all callers in total
    double cold_request_rate{0.0};     ///< requests per second that a cold upstream tolerates; 0 for no limit
    core::duration cold_time{0};       ///< maximum time for which an upstream is cold

    bool operator==(const service&) const = default;
};

/// @brief Size and time limits for callers.
struct caller_limits
{
    std::uint64_t header_bytes{16384};
    std::uint64_t body_bytes{std::uint64_t{1} << 26U};
    core::duration header_timeout{std::chrono::seconds{10}};
    core::duration idle_timeout{std::chrono::seconds{75}}; ///< maximum idle time of a connection between two requests

    bool operator==(const caller_limits&) const = default;
};

/// @brief One version of the complete configuration of an installation.
struct configuration
{
    core::version version{0};
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits{};
    bool has_tenants{false}; ///< requests need the key of a tenant, unless their route is public
    std::vector<poplarport::tenants::tenant> tenants{};

    bool operator==(const configuration&) const = default;
};

} // namespace poplarport::routes
