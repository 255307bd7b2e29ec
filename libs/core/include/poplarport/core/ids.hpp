#pragma once

#include <cstdint> // uint64_t
#include <string>  // string

namespace poplarport::core
{

/// @brief Unique name of a node, from its settings.
using node_id = std::string;

/// @brief Identifies one start of a node: wall-clock microseconds at process start; a later start is greater.
using incarnation = std::uint64_t;

/// @brief Identifies one request on its whole way through the nodes.
using request_id = std::string;

/// @brief Version of a configuration document; zero means that none is held.
using version = std::uint64_t;

} // namespace poplarport::core
