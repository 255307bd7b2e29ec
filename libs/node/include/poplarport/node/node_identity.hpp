#pragma once

#include <string> // string

#include "poplarport/core/ids.hpp"

namespace poplarport::node
{

/// @brief Identity of a node, from its settings.
struct node_identity
{
    core::node_id id;
    std::string availability_zone;
    std::string cluster_key; ///< shown to peers with each call
};

/// @brief Makes the identity of a node, with the key that is derived from the cluster's secret.
[[nodiscard]] node_identity make_identity(core::node_id id, std::string availability_zone,
                                          const std::string& cluster_secret);

} // namespace poplarport::node
