#pragma once

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

/// @brief A TCP connection on the loop, with an output buffer of its own.
///
/// Any hook may destroy the socket. No hook is called after close() or after on_closed.
class stream_socket
{
  public:
    /// @brief Hooks of the socket's owner; an empty one is skipped.
    struct hooks
    {
        std::function<void()> on_connected;             ///< an outgoing connection is established
        std::function<void(std::string_view)> on_bytes; ///< bytes arrived
        std::function<void()> on_drained;               ///< the output buffer is empty again
        std::function<void(std::error_code)> on_closed; ///< the connection ended or was never established
    };

    /// @brief Starts an outgoing connection.
    /// @param[in] loop    loop of the socket
    /// @param[in] address IP number and port
    /// @param[in] timeout limit for the connection's set-up
    /// @param[in] events  hooks of the owner
    /// @return the socket; a failure is told by on_closed in a later iteration
    [[nodiscard]] static std::unique_ptr<stream_socket> connect(event_loop& loop, const core::socket_address& address,
                                                                core::duration timeout, hooks events);

    /// @brief Takes over an accepted connection.
    /// @param[in] loop       loop of the socket
    /// @param[in] descriptor connected non-blocking descriptor; its ownership passes to the socket
    [[nodiscard]] static std::unique_ptr<stream_socket> adopt(event_loop& loop, int descriptor);

    ~stream_socket();
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;

    /// @brief Replaces the hooks.
    void set_hooks(hooks events);

    /// @brief Sends bytes, or buffers what the kernel does not take at once.
    void send(std::string_view bytes);

    /// @return bytes in the output buffer that the kernel has not taken
    [[nodiscard]] std::size_t pending_bytes() const noexcept;

    /// @return bytes that the kernel has taken since the connection was set up
    [[nodiscard]] std::size_t sent_bytes() const noexcept;

    /// @return whether the connection is established and not closed
    [[nodiscard]] bool is_open() const noexcept;

    /// @return whether bytes or the end of the input wait to be read; an idle connection with such is not reusable
    [[nodiscard]] bool has_unread_input() const noexcept;

    /// @brief Stops or restarts reading, so that TCP's flow control holds the sender back.
    void set_reading(bool enabled);

    /// @brief Announces the end of the output after the output buffer is empty.
    void finish_output();

    /// @brief Closes at once; buffered output is discarded and no hook is called any more.
    void close() noexcept;

    /// @brief Breaks the connection off with a TCP reset, so that the other side cannot take it for an orderly end.
    void reset() noexcept;

    /// @return address of the other side, with an empty host when it is not known
    [[nodiscard]] core::socket_address remote_address() const;

    struct state;

  private:
    explicit stream_socket(std::shared_ptr<state> shared);

    std::shared_ptr<state> data;
};

} // namespace poplarport::net
