#include "poplarport/settings/address_options.hpp"

#include <stdexcept> // invalid_argument

namespace poplarport::settings
{

std::optional<core::socket_address> optional_address(const cxxopts::ParseResult& parsed, const std::string& name)
{
    if (parsed.count(name) == 0 && !parsed[name].has_default())
    {
        return std::nullopt;
    }
    const auto& text = parsed[name].as<std::string>();
    auto address = core::parse_socket_address(text);
    if (!address)
    {
        throw std::invalid_argument("--" + name + ": not an IP address with a port: " + text);
    }
    return address;
}

core::socket_address required_address(const cxxopts::ParseResult& parsed, const std::string& name)
{
    const auto address = optional_address(parsed, name);
    if (!address)
    {
        throw std::invalid_argument("--" + name + " is missing");
    }
    return *address;
}

} // namespace poplarport::settings
