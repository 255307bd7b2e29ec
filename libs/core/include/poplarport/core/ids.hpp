#pragma once

#include <cstdint> // uint64_t
#include <string>  // string

namespace poplarport::core
{

/// @brief Unique name of a node, from its settings.
using node_id = std::string;

/// @brief Identifies one instance of a node by the wall-clock time of its process start in microseconds; a later
/// instance has a higher value.
using incarnation = std::uint64_t;

/// @brief Identifies one request across all nodes that handle it.
using request_id = std::string;

/// @brief Version of a configuration document; zero if none is held.
using version = std::uint64_t;

} // namespace poplarport::core
