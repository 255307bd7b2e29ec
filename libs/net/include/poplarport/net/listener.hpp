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

/// @brief When a listener starts to accept connections.
enum class listen_mode
{
    at_once,
    later ///< the address is bound, but connections are refused until listener::listen() is called
};

/// @brief A listening TCP socket. Its destruction closes the socket; accepted connections stay open.
class listener
{
  public:
    using accept_hook = std::function<void(std::unique_ptr<stream_socket>)>;

    /// @param[in] loop      event loop of the socket
    /// @param[in] address   address to listen on; port 0 selects a free port
    /// @param[in] on_accept called for each accepted connection
    /// @param[in] mode      when to start accepting connections
    /// @throw std::system_error with errc::invalid_address or errc::listen_failed
    listener(event_loop& loop, const core::socket_address& address, accept_hook on_accept,
             listen_mode mode = listen_mode::at_once);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// @brief Starts to accept connections; no effect if already started.
    /// @throw std::system_error with errc::listen_failed
    void listen();

    /// @brief Accepts the connections that the kernel has already established, and refuses all later ones.
    ///
    /// Closing the socket alone would reset those that are not yet accepted, although their callers may have sent
    /// requests. A stopped listener does not listen again.
    void stop();

    /// @return the local address, with the port in use
    [[nodiscard]] const core::socket_address& address() const noexcept;

  private:
    void shut_down();
    void accept_all();
    void accept_up_to(int limit);

    event_loop* loop;
    core::socket_address bound_address;
    accept_hook hook;
    int descriptor{-1};
    bool is_stopped{false};
    std::unique_ptr<detail::descriptor_watch> watch;
};

} // namespace poplarport::net
