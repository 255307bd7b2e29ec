#pragma once

#include <chrono>  // milliseconds, seconds
#include <cstdint> // uint32_t, uint64_t
#include <string>  // string
#include <vector>  // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::routes
{

/// @brief A service to which a route sends a part of its requests.
struct destination
{
    std::string service;
    std::uint32_t weight{1}; ///< share of the requests, in relation to the route's other destinations

    bool operator==(const destination&) const = default;
};

/// @brief Where the requests below a path of a host go, and how they are treated.
struct route
{
    std::string name;
    std::string host;        ///< lower case, without a port
    std::string path_prefix; ///< begins and ends with a slash
    bool repeatable{false};  ///< requests may run more than once
    std::vector<destination> destinations;
    core::duration timeout{0};         ///< longest time until the answer
    std::uint32_t attempts{1};         ///< upstreams to which one request may be sent
    core::duration response_target{0}; ///< time within which an answer has its full worth
    std::uint32_t rank{0};             ///< 0 is the most urgent

    bool operator==(const route&) const = default;
};

/// @brief What is common to the upstreams of a service.
struct service
{
    std::string name;
    std::string health_path;
    std::uint32_t connection_limit{0}; ///< connections that one upstream accepts from all callers together

    bool operator==(const service&) const = default;
};

/// @brief What a caller may send, and how long it may take.
struct caller_limits
{
    std::uint64_t header_bytes{16384};
    std::uint64_t body_bytes{std::uint64_t{1} << 26U};
    core::duration header_timeout{std::chrono::seconds{10}};
    core::duration idle_timeout{std::chrono::seconds{75}}; ///< of a connection between two requests

    bool operator==(const caller_limits&) const = default;
};

/// @brief One version of the whole configuration of an installation.
struct configuration
{
    core::version version{0};
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits{};

    bool operator==(const configuration&) const = default;
};

} // namespace poplarport::routes
