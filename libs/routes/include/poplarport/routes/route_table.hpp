#pragma once

#include <cstddef>       // size_t
#include <functional>    // equal_to, hash
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map

#include "poplarport/routes/configuration.hpp"
#include "poplarport/tenants/directory.hpp"

namespace poplarport::routes
{

/// @brief An immutable index over one version of the configuration.
///
/// A new version replaces the whole table, so that each request sees a single version throughout.
class route_table
{
  public:
    /// @param[in] new_configuration the configuration; of several routes with the same host and prefix, the first
    /// one is used
    explicit route_table(configuration new_configuration);

    /// @brief Finds the route of a request: of the host's routes, the one with the longest matching path prefix.
    /// @param[in] host   value of the Host header field, with or without a port
    /// @param[in] target request target in origin form; a query is ignored
    /// @return the route, or nullptr; the time taken is linear in the number of slashes in the path
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;

    /// @return the service, or nullptr if the configuration has none of this name
    [[nodiscard]] const service* find_service(std::string_view name) const;

    /// @return the tenants of the configuration
    [[nodiscard]] const poplarport::tenants::directory& tenants() const noexcept
    {
        return this->tenant_directory;
    }

    /// @return the configuration that this table indexes
    [[nodiscard]] const configuration& source() const noexcept
    {
        return this->indexed_configuration;
    }

    [[nodiscard]] core::version version() const noexcept
    {
        return this->indexed_configuration.version;
    }

  private:
    struct text_hash
    {
        using is_transparent = void;

        [[nodiscard]] std::size_t operator()(std::string_view text) const noexcept
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    template <typename value_type>
    using map_by_text = std::unordered_map<std::string, value_type, text_hash, std::equal_to<>>;

    configuration indexed_configuration;
    map_by_text<map_by_text<const route*>> routes_by_host;
    map_by_text<const service*> services_by_name;
    poplarport::tenants::directory tenant_directory;
};

/// @return a host name in lower case and without a port
[[nodiscard]] std::string normalize_host(std::string_view host);

} // namespace poplarport::routes
