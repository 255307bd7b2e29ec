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
    std::string before; ///< JSON text; empty when the path is added
    std::string after;  ///< JSON text; empty when the path is removed

    bool operator==(const difference&) const = default;
};

/// @brief Lists the differences between two documents without their change ids; digests of secrets are shortened.
[[nodiscard]] std::vector<difference> differences(const service_document& before, const service_document& after);

} // namespace poplarport::manifest
