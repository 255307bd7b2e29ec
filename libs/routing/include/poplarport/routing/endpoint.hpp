#pragma once

#include <string> // string

#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"

namespace poplarport::routing
{

/// @brief An upstream with its node, as membership knows it.
struct endpoint
{
    core::node_id id;                 ///< unique name of the node
    std::string availability_zone;    ///< zone of the node
    core::socket_address address;     ///< where the node listens for peers
    core::incarnation incarnation{0}; ///< start of the node; a later start is a cold one
    bool draining{false};             ///< takes no new work

    bool operator==(const endpoint&) const = default;
};

} // namespace poplarport::routing
