#pragma once

#include <functional>  // function
#include <memory>      // unique_ptr
#include <string_view> // string_view

#include "poplarport/core/socket_address.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::net
{

namespace detail
{
class descriptor_watch;
} // namespace detail

/// @brief A bound UDP socket.
class datagram_socket
{
  public:
    using receive_hook = std::function<void(const core::socket_address& from, std::string_view datagram)>;

    /// @param[in] loop       event loop of the socket
    /// @param[in] address    address to bind; port 0 selects a free port
    /// @param[in] on_receive called for each datagram received
    /// @throw std::system_error with errc::invalid_address or errc::listen_failed
    datagram_socket(event_loop& loop, const core::socket_address& address, receive_hook on_receive);
    ~datagram_socket();
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;

    /// @brief Sends one datagram. It may be lost on the network or dropped when the send buffer is full.
    /// @return whether the kernel accepted it
    bool send(const core::socket_address& to, std::string_view datagram) const;

    /// @return the local address, with the port in use
    [[nodiscard]] const core::socket_address& address() const noexcept;

  private:
    void receive_all();

    core::socket_address bound_address;
    receive_hook hook;
    std::unique_ptr<detail::descriptor_watch> watch;
};

} // namespace poplarport::net
