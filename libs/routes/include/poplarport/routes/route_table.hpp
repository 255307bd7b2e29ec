#pragma once

#include <cstddef>       // size_t
#include <functional>    // equal_to, hash
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map

#include "poplarport/routes/configuration.hpp"

namespace poplarport::routes
{

/// @brief An immutable index over one version of the configuration.
///
/// Replaced as a whole, so that a request sees one version from its start to its end.
class route_table
{
  public:
    /// @param[in] source the configuration; of several routes with the same host and prefix the first holds
    explicit route_table(configuration source);

    /// @brief Finds the route of a request: among the routes of the host, the one with the longest prefix of the path.
    /// @param[in] host   value of Host, with or without a port
    /// @param[in] target request target in origin form; a query is ignored
    /// @return the route, or nullptr; takes time in proportion to the number of slashes in the path
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;

    /// @return a service, or nullptr
    [[nodiscard]] const service* find_service(std::string_view name) const;

    /// @return the configuration that this table indexes
    [[nodiscard]] const configuration& source() const noexcept
    {
        return this->content;
    }

    /// @return the version of the configuration
    [[nodiscard]] core::version version() const noexcept
    {
        return this->content.version;
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
    using by_text = std::unordered_map<std::string, value_type, text_hash, std::equal_to<>>;

    configuration content;
    by_text<by_text<const route*>> hosts;
    by_text<const service*> services;
};

/// @return a host name in lower case and without a port
[[nodiscard]] std::string normalize_host(std::string_view host);

} // namespace poplarport::routes
