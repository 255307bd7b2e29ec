#pragma once

#include <chrono>  // milliseconds, seconds
#include <cstdint> // uint32_t
#include <string>  // string

#include "poplarport/core/time.hpp"

namespace poplarport::limits
{

/// @brief Requests of a tenant that all nodes together may admit.
struct quota
{
    double rate_per_second{0.0}; ///< greater than 0
    double burst{0.0};           ///< requests in addition at any time

    bool operator==(const quota&) const = default;
};

/// @brief What a node tells the owner of a tenant's quota about the time since its last report.
struct quota_report
{
    std::string tenant;
    std::uint32_t arrivals{0}; ///< requests of the tenant
    std::uint32_t admitted{0}; ///< those that were admitted and may have run
    core::duration interval{0};
    double part{0.0}; ///< fraction of the tenant's demand that this node had, as an owner stated it last

    bool operator==(const quota_report&) const = default;
};

/// @brief What the owner decides for one node until its next report.
struct quota_decision
{
    std::string tenant;
    double fraction{1.0};   ///< of the arrivals that are admitted
    double part{0.0};       ///< fraction of the tenant's demand that the node has
    core::duration wait{0}; ///< time until the quota covers the present demand again; zero if it does

    bool operator==(const quota_decision&) const = default;
};

/// @brief Interval of the reports of an active tenant.
inline constexpr std::chrono::milliseconds quota_report_interval{250};

/// @brief Interval at which an owner tells all nodes that requests of a tenant are refused.
inline constexpr std::chrono::milliseconds quota_announcement_interval{500};

/// @brief Time for which the last demand of a node that reports no longer counts, and for which a new owner relies on
/// the parts that an earlier owner stated.
inline constexpr std::chrono::seconds quota_memory{30};

} // namespace poplarport::limits
