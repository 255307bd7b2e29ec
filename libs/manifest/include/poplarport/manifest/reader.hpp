#pragma once

#include <string> // string
#include <vector> // vector

#include "poplarport/manifest/model.hpp"
#include "poplarport/settings/document.hpp"

namespace poplarport::manifest
{

/// @brief A manifest as read; the content is valid only without faults.
struct read_result
{
    model content;                       ///< what was read
    std::vector<settings::fault> faults; ///< all faults, in the order of their lines
};

/// @brief Reads and checks a manifest.
/// @param[in] file the TOML document
[[nodiscard]] read_result read(settings::document file);

/// @brief Reads and checks the manifest at a path.
[[nodiscard]] read_result read_file(const std::string& path);

} // namespace poplarport::manifest
