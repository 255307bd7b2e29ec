#pragma once

#include <string> // string

#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"

namespace poplarport::routing
{

/// @brief An upstream and its node, as listed by membership.
struct endpoint
{
    core::node_id id;                 ///< unique name of the node
    std::string availability_zone;    ///< zone of the node
    core::socket_address address;     ///< peer listener of the node
    core::incarnation incarnation{0}; ///< incarnation of the node; a later one starts cold
    bool draining{false};             ///< accepts no new requests
    bool suspect{false};              ///< the node did not respond to a probe; used only if nothing else is left

    bool operator==(const endpoint&) const = default;
};

} // namespace poplarport::routing
