#pragma once

#include <optional> // optional

#include <sys/socket.h>

#include "poplarport/core/socket_address.hpp"

namespace poplarport::net::detail
{

/// @brief Socket address in the format of the system calls.
struct kernel_address
{
    sockaddr_storage storage{};
    socklen_t length{0};

    /// @return the address, as input of a system call
    [[nodiscard]] const sockaddr* get() const noexcept;

    /// @return the address, as output of a system call
    [[nodiscard]] sockaddr* get() noexcept;
};

/// @return the address for system calls, or nothing when the host is not an IP address
[[nodiscard]] std::optional<kernel_address> to_kernel(const core::socket_address& address);

/// @return the IP address and port
[[nodiscard]] core::socket_address from_kernel(const kernel_address& address);

/// @return the local address of a bound descriptor
[[nodiscard]] core::socket_address local_address(int descriptor);

} // namespace poplarport::net::detail
