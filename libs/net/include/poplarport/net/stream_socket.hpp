#pragma once

#include <chrono>       // seconds
#include <cstddef>      // size_t
#include <functional>   // function
#include <memory>       // shared_ptr, unique_ptr
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::net
{

/// @brief A TCP connection on an event loop, with an output buffer.
///
/// Any hook may destroy the socket. No hook runs after close() or after on_closed.
class stream_socket
{
  public:
    /// @brief Hooks of the owner; empty ones are skipped.
    struct hooks
    {
        std::function<void()> on_connected;             ///< an outgoing connection is established
        std::function<void(std::string_view)> on_bytes; ///< bytes were received
        std::function<void()> on_drained;               ///< the output buffer is empty again
        std::function<void(std::error_code)> on_closed; ///< the connection ended or was never established
    };

    /// @brief Starts an outgoing connection.
    /// @param[in] loop    event loop of the socket
    /// @param[in] address IP address and port
    /// @param[in] timeout limit for establishing the connection
    /// @param[in] events  hooks of the owner
    /// @return the socket; a failure is reported by on_closed in a later iteration
    [[nodiscard]] static std::unique_ptr<stream_socket> connect(event_loop& loop, const core::socket_address& address,
                                                                core::duration timeout, hooks events);

    /// @brief Takes ownership of an accepted connection.
    /// @param[in] loop       event loop of the socket
    /// @param[in] descriptor connected non-blocking descriptor; its ownership passes to the socket
    [[nodiscard]] static std::unique_ptr<stream_socket> adopt(event_loop& loop, int descriptor);

    ~stream_socket();
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;

    /// @brief Replaces the hooks.
    void set_hooks(hooks events);

    /// @brief Sends bytes, and buffers those that the kernel does not accept at once.
    void send(std::string_view bytes);

    /// @return bytes in the output buffer, not yet written to the kernel
    [[nodiscard]] std::size_t pending_bytes() const noexcept;

    /// @return bytes written to the kernel since the connection was established
    [[nodiscard]] std::size_t sent_bytes() const noexcept;

    /// @return whether the connection is established and not closed
    [[nodiscard]] bool is_open() const noexcept;

    /// @return whether bytes or the end of the input are waiting to be read, or the socket is closed; an idle
    ///         connection with unread input must not be reused
    [[nodiscard]] bool has_unread_input() const noexcept;

    /// @brief Returns whether the remote side has closed or reset the connection, also where `on_closed` is still due
    /// because input before the close is unread or the event loop is late.
    [[nodiscard]] bool has_remote_closed() const noexcept;

    /// @brief Pauses or resumes reading; while it is paused, TCP flow control throttles the sender.
    void set_reading(bool enabled);

    /// @brief Lets the kernel probe an idle connection, so that it ends if the remote machine no longer responds.
    /// @param[in] interval idle time before the first probe, and time between two probes
    /// @param[in] probes   unanswered probes after which the connection ends
    void set_keep_alive(std::chrono::seconds interval, int probes);

    /// @brief Shuts down the sending direction once the output buffer is empty.
    void finish_output();

    /// @brief Closes the connection at once; buffered output is discarded and no further hook runs.
    void close() noexcept;

    /// @brief Closes the connection with a TCP reset, so that the remote side cannot mistake it for an orderly close.
    void reset() noexcept;

    /// @return the remote address; its host is empty if the address is unknown
    [[nodiscard]] core::socket_address remote_address() const;

    struct state;

  private:
    explicit stream_socket(std::shared_ptr<state> shared);

    std::shared_ptr<state> data;
};

} // namespace poplarport::net
