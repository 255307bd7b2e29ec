#pragma once

#include <cstddef> // size_t
#include <span>    // span
#include <vector>  // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/routing/endpoint.hpp"

namespace poplarport::routing
{

/// @brief Selects the endpoints to which a node keeps connections, by rendezvous hashing.
///
/// Each availability zone is represented in proportion to its number of members, so that the connections per endpoint
/// are even regardless of zone sizes. When a member joins or leaves, few subsets change, each by about one endpoint.
/// @param[in] self    the node that keeps the connections
/// @param[in] members endpoints of the service with unique ids, in any order
/// @param[in] size    number of endpoints to select
/// @return at most `size` indices into `members`, in ascending order
[[nodiscard]] std::vector<std::size_t> subset(const core::node_id& self, std::span<const endpoint> members,
                                              std::size_t size);

/// @brief Finds the largest subset size that keeps the connections per endpoint within a limit.
///
/// The number of connections to one endpoint varies as a binomial distribution; four standard deviations are reserved.
/// @param[in] callers           nodes that keep connections to the service
/// @param[in] members           endpoints of the service
/// @param[in] connections_limit maximum number of connections to one endpoint
/// @return the subset size, from 1 to `members`; 0 if there are no members
[[nodiscard]] std::size_t subset_size(std::size_t callers, std::size_t members, std::size_t connections_limit);

} // namespace poplarport::routing
