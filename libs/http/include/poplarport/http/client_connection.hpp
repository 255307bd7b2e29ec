#pragma once

#include <cstddef>      // size_t
#include <functional>   // function
#include <memory>       // shared_ptr
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/http/message.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::http
{

/// @brief Why a request at a client connection failed, and what that proves.
struct client_failure
{
    std::error_code error{};
    bool bytes_sent{false};    ///< at least one byte of the request was handed to the kernel
    bool head_received{false}; ///< the head of the answer had arrived
};

/// @brief One HTTP/1.1 connection to an upstream: one request at a time, never a request sent twice by itself.
class client_connection : public std::enable_shared_from_this<client_connection>
{
  public:
    /// @brief Hooks of one request; an empty one is skipped. None is called after on_end or on_failed.
    struct hooks
    {
        std::function<void(const response_head&)> on_interim; ///< an interim (1xx) answer
        std::function<void(response_head&)> on_head;          ///< head of the final answer
        std::function<void(std::string_view)> on_body;        ///< bytes of the answer's body
        std::function<void()> on_end;                         ///< the answer is complete
        std::function<void()> on_writable;                    ///< the output buffer is empty again
        std::function<void(const client_failure&)> on_failed; ///< no complete answer will arrive
    };

    /// @brief Starts to connect; a request may be started at once and waits for the connection.
    /// @param[in] loop    loop of the connection
    /// @param[in] address IP number and port
    /// @param[in] timeout limit for the connection's set-up
    [[nodiscard]] static std::shared_ptr<client_connection>
    connect(net::event_loop& loop, const core::socket_address& address, core::duration timeout);

    client_connection() = default;
    virtual ~client_connection() = default;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// @brief Starts a request; the connection must be idle.
    virtual void start(const request_head& head, hooks events) = 0;

    /// @brief Sends bytes of the request's body.
    virtual void send_body(std::string_view bytes) = 0;

    /// @brief Ends the request's body.
    virtual void finish_request() = 0;

    /// @brief Stops or restarts reading the answer.
    virtual void set_reading(bool enabled) = 0;

    /// @brief Closes at once; no hook is called any more.
    virtual void abort() = 0;

    /// @return whether another request can be started on this connection
    [[nodiscard]] virtual bool is_reusable() const noexcept = 0;

    /// @return whether the connection was closed
    [[nodiscard]] virtual bool is_closed() const noexcept = 0;

    /// @return how long the other side keeps the connection idle, from Keep-Alive in its newest answer
    [[nodiscard]] virtual std::optional<core::duration> idle_limit() const noexcept = 0;

    /// @return whether the other side ended the connection before the first byte of the answer to a request
    [[nodiscard]] virtual bool was_dropped() const noexcept = 0;

    /// @return whether a byte of the current request was handed to the kernel
    [[nodiscard]] virtual bool has_sent_bytes() const noexcept = 0;

    /// @return bytes of the request that the kernel has not taken
    [[nodiscard]] virtual std::size_t pending_bytes() const noexcept = 0;
};

} // namespace poplarport::http
