#include "poplarport/routes/route_table.hpp"

#include <algorithm> // ranges::transform
#include <cctype>    // tolower
#include <utility>   // move

namespace poplarport::routes
{

std::string normalize_host(std::string_view host)
{
    // A colon inside brackets is part of an IPv6 address.
    const auto colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    std::string normalized{has_port ? host.substr(0, colon) : host};
    std::ranges::transform(normalized, normalized.begin(),
                           [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return normalized;
}

route_table::route_table(configuration new_configuration)
    : indexed_configuration(std::move(new_configuration)), tenant_directory(this->indexed_configuration.tenants)
{
    for (const auto& each : this->indexed_configuration.routes)
    {
        this->routes_by_host[normalize_host(each.host)].emplace(each.path_prefix, &each);
    }
    for (const auto& each : this->indexed_configuration.services)
    {
        this->services_by_name.emplace(each.name, &each);
    }
}

const route* route_table::find(std::string_view host, std::string_view target) const
{
    const auto found = this->routes_by_host.find(normalize_host(host));
    if (found == this->routes_by_host.end())
    {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1))
    {
        const auto match = found->second.find(path.substr(0, slash + 1));
        if (match != found->second.end())
        {
            return match->second;
        }
        if (slash == 0)
        {
            break;
        }
    }
    return nullptr;
}

const service* route_table::find_service(std::string_view name) const
{
    const auto found = this->services_by_name.find(name);
    return found == this->services_by_name.end() ? nullptr : found->second;
}

} // namespace poplarport::routes
