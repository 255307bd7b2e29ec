#pragma once

#include <cstdint>  // uint32_t
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "poplarport/tenants/digest.hpp"

namespace poplarport::tenants
{

/// @brief Requests of a tenant that all nodes together may admit.
struct allowance
{
    double rate_per_second{0.0}; ///< 0 for no limit
    double burst{0.0};           ///< requests in addition at any time

    [[nodiscard]] bool is_limited() const noexcept
    {
        return this->rate_per_second > 0.0;
    }

    bool operator==(const allowance&) const = default;
};

/// @brief A customer of the installation.
struct tenant
{
    std::string name;
    std::vector<digest> keys{};              ///< digests of its keys; none after the last one was taken away
    std::optional<std::uint32_t> priority{}; ///< replaces that of the route
    tenants::allowance allowance{};

    bool operator==(const tenant&) const = default;
};

} // namespace poplarport::tenants
