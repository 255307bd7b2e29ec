#pragma once

#include <string> // string

#include "poplarport/core/ids.hpp"

namespace poplarport::configuration
{

/// @brief A version of a service's configuration, as stored on the platform.
struct document
{
    std::string service;
    core::version version{0}; ///< the platform's version of the object
    std::string content;      ///< JSON, at most 1 MB

    bool operator==(const document&) const = default;
};

/// @brief Source of a document: the platform if `peer` is empty, otherwise that node.
struct document_source
{
    core::node_id peer;

    bool operator==(const document_source&) const = default;
};

/// @brief A member of a service with the configuration version that it holds.
struct peer_version
{
    core::node_id id;
    core::version version{0}; ///< newest version that it announced

    bool operator==(const peer_version&) const = default;
};

} // namespace poplarport::configuration
