#pragma once

#include <string> // string

#include "poplarport/core/ids.hpp"

namespace poplarport::node
{

/// @brief Identity of a node, taken from its settings.
struct node_identity
{
    core::node_id id;
    std::string availability_zone;
    std::string cluster_key; ///< authenticates the node to its peers; sent with each call
};

/// @brief Creates the identity of a node; the cluster key is derived from the cluster secret.
[[nodiscard]] node_identity make_identity(core::node_id id, std::string availability_zone,
                                          const std::string& cluster_secret);

} // namespace poplarport::node
