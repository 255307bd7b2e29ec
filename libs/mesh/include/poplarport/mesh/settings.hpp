#pragma once

#include <chrono>  // seconds
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string
#include <vector>  // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/settings/document.hpp"

namespace poplarport::mesh
{

/// @brief Addresses on which a mesh node listens.
struct listen_settings
{
    core::socket_address callers;      ///< requests of callers and of the local upstream
    core::socket_address peers;        ///< calls and membership messages of other nodes, TCP and UDP
    core::socket_address registration; ///< heartbeats of the local upstream
    core::socket_address readiness;    ///< readiness checks
    core::socket_address metrics;      ///< counters and histograms

    bool operator==(const listen_settings&) const = default;
};

/// @brief Retry limits of an installation, shared by all nodes of a service.
struct retry_settings
{
    double ratio{0.2};         ///< retries per request
    std::uint64_t reserve{64}; ///< retries per window in addition to the ratio
    core::duration window{std::chrono::seconds{10}};

    bool operator==(const retry_settings&) const = default;
};

/// @brief By how much the requests to a cold upstream may exceed the rate that its service states.
struct cold_start_settings
{
    double rate_factor{1.0}; ///< factor of the rate
    double reserve{0.0};     ///< requests in any second in addition

    bool operator==(const cold_start_settings&) const = default;
};

/// @brief Settings of a mesh node.
struct mesh_settings
{
    core::node_id id;
    std::string service; ///< service of the local upstream
    std::string availability_zone;
    std::vector<std::string> zones{}; ///< availability zones of the installation
    bool watches_evacuations{false};  ///< operators may evacuate zones through the store
    std::string cluster_secret;       ///< shared by all nodes of an installation; never logged
    bool is_first_start{false}; ///< all nodes of the installation start for the first time, so that nothing is stored
    listen_settings listen;
    core::socket_address upstream;
    core::socket_address store;
    retry_settings retry{};
    cold_start_settings cold_start{};
    core::duration drain_limit{std::chrono::seconds{2}}; ///< a deregistered upstream receives no work after this time
    core::duration stop_limit{std::chrono::seconds{6}};  ///< maximum duration of a planned stop
    std::size_t descriptors{4096};                       ///< maximum number of open file descriptors
    std::string log_level{"info"};

    bool operator==(const mesh_settings&) const = default;
};

/// @brief Reads the settings; errors are recorded in the document.
[[nodiscard]] mesh_settings read_settings(const settings::document& document);

} // namespace poplarport::mesh
