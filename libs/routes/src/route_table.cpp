#include "poplarport/routes/route_table.hpp"

#include <algorithm> // ranges::transform
#include <cctype>    // tolower
#include <utility>   // move

namespace poplarport::routes
{

std::string normalize_host(std::string_view host)
{
    // A colon inside brackets belongs to an IPv6 address.
    const auto colon = host.rfind(':');
    const bool has_port = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    std::string text{has_port ? host.substr(0, colon) : host};
    std::ranges::transform(text, text.begin(),
                           [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

route_table::route_table(configuration source) : content(std::move(source))
{
    for (const auto& each : this->content.routes)
    {
        this->hosts[normalize_host(each.host)].emplace(each.path_prefix, &each);
    }
    for (const auto& each : this->content.services)
    {
        this->services.emplace(each.name, &each);
    }
}

const route* route_table::find(std::string_view host, std::string_view target) const
{
    const auto found = this->hosts.find(normalize_host(host));
    if (found == this->hosts.end())
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
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : found->second;
}

} // namespace poplarport::routes
