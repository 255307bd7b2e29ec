#pragma once

#include <cstddef> // size_t
#include <string>  // string
#include <vector>  // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/settings/document.hpp"

namespace poplarport::node
{

/// @brief Settings of `poplar-node`, read from its TOML file.
struct node_settings
{
    core::node_id id;
    std::string service;
    std::string availability_zone;
    std::string cluster_secret; ///< shared by all nodes of an operator; never logged
    core::socket_address callers;
    core::socket_address peers;         ///< address announced to other nodes; UDP for membership messages
    core::socket_address peer_sessions; ///< TCP for sessions; same as `peers` unless a forwarder listens there
    core::socket_address administration;
    core::socket_address upstream;
    core::socket_address platform;
    std::vector<core::socket_address> seeds; ///< peer addresses to contact in addition to those in the seeds object
    std::size_t descriptors{4096};           ///< maximum number of open file descriptors
    std::string log_level{"info"};
};

/// @return the validation rule for the cluster secret, which all nodes share
[[nodiscard]] const settings::text_rule& cluster_secret_rule();

/// @brief Reads the settings; errors are recorded in the document.
[[nodiscard]] node_settings read_settings(const settings::document& document);

} // namespace poplarport::node
