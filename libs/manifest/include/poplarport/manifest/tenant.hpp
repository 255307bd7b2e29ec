#pragma once

#include <string> // string
#include <vector> // vector

#include "poplarport/manifest/credential.hpp"

namespace poplarport::manifest
{

/// @brief Maximum number of valid secrets of one tenant; bounds the hashes that one request can cause.
inline constexpr std::size_t max_credentials = 4;

/// @brief A customer of the operator. It may have several secrets, so that they can be rotated without an outage.
struct tenant
{
    std::string name;                         ///< unique name
    std::vector<credential_hash> credentials; ///< hashes of the valid secrets

    bool operator==(const tenant&) const = default;
};

} // namespace poplarport::manifest
