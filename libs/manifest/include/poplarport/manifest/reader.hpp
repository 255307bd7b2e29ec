#pragma once

#include <string> // string
#include <vector> // vector

#include "poplarport/manifest/manifest_content.hpp"
#include "poplarport/settings/document.hpp"

namespace poplarport::manifest
{

/// @brief Result of reading a manifest.
struct read_result
{
    manifest_content content;            ///< valid only if there are no faults
    std::vector<settings::fault> faults; ///< all faults, by line
};

/// @brief Reads and validates a manifest.
/// @param[in] file TOML document
[[nodiscard]] read_result read(settings::document file);

/// @brief Reads and validates the manifest file at a path.
[[nodiscard]] read_result read_file(const std::string& path);

} // namespace poplarport::manifest
