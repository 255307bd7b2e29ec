#pragma once

#include <vector> // vector

#include "poplarport/manifest/service.hpp"
#include "poplarport/manifest/tenant.hpp"
#include "poplarport/manifest/zone_cost.hpp"

namespace poplarport::manifest
{

/// @brief Content of a manifest: the services, tenants and zone costs of one operator.
struct manifest_content
{
    std::vector<service> services;     ///< sorted by name
    std::vector<tenant> tenants;       ///< sorted by name
    std::vector<zone_cost> zone_costs; ///< costs between availability zones, sorted by zone names

    bool operator==(const manifest_content&) const = default;
};

} // namespace poplarport::manifest
