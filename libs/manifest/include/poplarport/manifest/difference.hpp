#pragma once

#include <string> // string
#include <vector> // vector

#include "poplarport/manifest/service_document.hpp"

namespace poplarport::manifest
{

/// @brief One difference between two documents.
struct difference
{
    std::string path;   ///< JSON pointer
    std::string before; ///< JSON text; empty if the path was added
    std::string after;  ///< JSON text; empty if the path was removed

    bool operator==(const difference&) const = default;
};

/// @return the differences between two documents, ignoring change ids; digests of secrets are truncated
[[nodiscard]] std::vector<difference> differences(const service_document& before, const service_document& after);

} // namespace poplarport::manifest
