#pragma once

#include <cstddef> // size_t
#include <span>    // span
#include <vector>  // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/routing/endpoint.hpp"

namespace poplarport::routing
{

/// @brief Chooses the endpoints to which a node keeps connections, by rendezvous hashing.
///
/// Each availability zone is represented in proportion to its members, so that the connections per endpoint are even
/// whatever the zones' sizes. When a member joins or leaves, only few subsets change, each by about one endpoint.
/// @param[in] self    the node that keeps the connections
/// @param[in] members endpoints of the service, in any order; their ids are unique
/// @param[in] size    number of endpoints to choose
/// @return positions in `members`, at most `size`, in ascending order
[[nodiscard]] std::vector<std::size_t> subset(const core::node_id& self, std::span<const endpoint> members,
                                              std::size_t size);

/// @brief Finds the largest subset for which no endpoint gets more connections than allowed.
///
/// The number of connections to one endpoint varies as a binomial distribution; four standard deviations are reserved.
/// @param[in] callers           nodes that keep connections to the service
/// @param[in] members           endpoints of the service
/// @param[in] connections_limit connections that one endpoint takes
/// @return the size of the subset, from 1 to `members`; 0 when there is no member
[[nodiscard]] std::size_t subset_size(std::size_t callers, std::size_t members, std::size_t connections_limit);

} // namespace poplarport::routing
