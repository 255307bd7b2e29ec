#pragma once

#include <cstdint>     // uint16_t
#include <optional>    // optional
#include <string>      // string, to_string
#include <string_view> // string_view
#include <tuple>       // tie

namespace poplarport::core
{

/// @brief An IP address and a port.
struct socket_address
{
    std::string host;      ///< IPv4 or IPv6 address, without brackets
    std::uint16_t port{0}; ///< TCP or UDP port

    bool operator==(const socket_address&) const = default;

    /// @brief Orders addresses by host and then by port.
    [[nodiscard]] bool operator<(const socket_address& other) const
    {
        return std::tie(this->host, this->port) < std::tie(other.host, other.port);
    }
};

/// @brief Formats an address as `host:port`, with brackets around an IPv6 address.
[[nodiscard]] inline std::string to_string(const socket_address& address)
{
    const bool is_ipv6 = address.host.find(':') != std::string::npos;
    const std::string host = is_ipv6 ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

/// @brief Parses `host:port`; the host is an IP address, in brackets for IPv6.
/// @return the address, or nothing if the text has no host or no port from 0 to 65535; the host is not validated
[[nodiscard]] inline std::optional<socket_address> parse_socket_address(std::string_view text)
{
    constexpr std::uint32_t max_port = 65535;
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon + 1 == text.size() || text.size() - colon > 6)
    {
        return std::nullopt;
    }
    std::uint32_t port = 0;
    for (const char digit : text.substr(colon + 1))
    {
        if (digit < '0' || digit > '9')
        {
            return std::nullopt;
        }
        port = port * 10 + static_cast<std::uint32_t>(digit - '0');
    }
    if (port > max_port)
    {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        host = host.substr(1, host.size() - 2);
    }
    return socket_address{std::string{host}, static_cast<std::uint16_t>(port)};
}

} // namespace poplarport::core
