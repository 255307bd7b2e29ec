#include "poplarport/net/detail/ip_address.hpp"

#include <array>   // array
#include <cstring> // memcpy

#include <arpa/inet.h>
#include <netinet/in.h>

namespace poplarport::net::detail
{

const sockaddr* kernel_address::get() const noexcept
{
    return reinterpret_cast<const sockaddr*>(&this->storage);
}

sockaddr* kernel_address::get() noexcept
{
    return reinterpret_cast<sockaddr*>(&this->storage);
}

std::optional<kernel_address> to_kernel(const core::socket_address& address)
{
    kernel_address result;
    sockaddr_in ipv4{};
    if (::inet_pton(AF_INET, address.host.c_str(), &ipv4.sin_addr) == 1)
    {
        ipv4.sin_family = AF_INET;
        ipv4.sin_port = htons(address.port);
        std::memcpy(&result.storage, &ipv4, sizeof ipv4);
        result.length = sizeof ipv4;
        return result;
    }
    sockaddr_in6 ipv6{};
    if (::inet_pton(AF_INET6, address.host.c_str(), &ipv6.sin6_addr) == 1)
    {
        ipv6.sin6_family = AF_INET6;
        ipv6.sin6_port = htons(address.port);
        std::memcpy(&result.storage, &ipv6, sizeof ipv6);
        result.length = sizeof ipv6;
        return result;
    }
    return std::nullopt;
}

core::socket_address from_kernel(const kernel_address& address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.storage.ss_family == AF_INET)
    {
        sockaddr_in ipv4{};
        std::memcpy(&ipv4, &address.storage, sizeof ipv4);
        ::inet_ntop(AF_INET, &ipv4.sin_addr, text.data(), text.size());
        return {text.data(), ntohs(ipv4.sin_port)};
    }
    if (address.storage.ss_family == AF_INET6)
    {
        sockaddr_in6 ipv6{};
        std::memcpy(&ipv6, &address.storage, sizeof ipv6);
        ::inet_ntop(AF_INET6, &ipv6.sin6_addr, text.data(), text.size());
        return {text.data(), ntohs(ipv6.sin6_port)};
    }
    return {};
}

core::socket_address local_address(int descriptor)
{
    kernel_address address;
    address.length = sizeof address.storage;
    if (::getsockname(descriptor, address.get(), &address.length) != 0)
    {
        return {};
    }
    return from_kernel(address);
}

} // namespace poplarport::net::detail
