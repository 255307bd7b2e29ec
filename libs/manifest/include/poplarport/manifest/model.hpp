#pragma once

#include <vector> // vector

#include "poplarport/manifest/service.hpp"
#include "poplarport/manifest/tenant.hpp"
#include "poplarport/manifest/zone_cost.hpp"

namespace poplarport::manifest
{

/// @brief Content of a manifest: the services and tenants of one operator.
struct model
{
    std::vector<service> services;     ///< services, by name
    std::vector<tenant> tenants;       ///< tenants, by name
    std::vector<zone_cost> zone_costs; ///< costs between availability zones, by their names

    bool operator==(const model&) const = default;
};

} // namespace poplarport::manifest
