#pragma once

#include <functional> // function
#include <memory>     // unique_ptr

#include "poplarport/core/socket_address.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/stream_socket.hpp"

namespace poplarport::net
{

namespace detail
{
class descriptor_watch;
} // namespace detail

/// @brief A listening TCP socket. Destroying it closes it; accepted connections stay open.
class listener
{
  public:
    using accept_hook = std::function<void(std::unique_ptr<stream_socket>)>;

    /// @param[in] loop      loop of the socket
    /// @param[in] address   address to listen on; port 0 takes a free port
    /// @param[in] on_accept hook for each accepted connection
    /// @throw std::system_error with errc::invalid_address or errc::listen_failed
    listener(event_loop& loop, const core::socket_address& address, accept_hook on_accept);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// @return the address with the port in use
    [[nodiscard]] const core::socket_address& address() const noexcept;

  private:
    void accept_all();

    event_loop* loop;
    core::socket_address bound;
    accept_hook hook;
    std::unique_ptr<detail::descriptor_watch> watch;
};

} // namespace poplarport::net
