#pragma once

#include <chrono>       // seconds
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

/// @brief Reason of a failed request, and how far the request and its response got.
struct client_failure
{
    std::error_code error{};
    bool bytes_sent{false};      ///< at least one byte of the request was passed to the kernel
    bool header_received{false}; ///< the header section of the response was received
};

/// @brief One HTTP/1.1 connection to an upstream.
///
/// Carries one request at a time (no pipelining) and never resends a request on its own.
class client_connection : public std::enable_shared_from_this<client_connection>
{
  public:
    /// @brief Hooks of one request; empty ones are skipped. None is called after on_end or on_failed.
    struct hooks
    {
        std::function<void(const response_header&)> on_interim;   ///< an interim (1xx) response
        std::function<void(response_header&)> on_response_header; ///< header section of the final response
        std::function<void(std::string_view)> on_body;            ///< bytes of the response body
        std::function<void()> on_end;                             ///< the response is complete
        std::function<void()> on_writable;                        ///< the output buffer is empty again
        std::function<void(const client_failure&)> on_failed;     ///< no complete response will be received
    };

    /// @brief Starts to connect. A request may be started at once; it is sent when the connection is established.
    /// @param[in] loop    event loop of the connection
    /// @param[in] address IP address and port
    /// @param[in] timeout limit for establishing the connection
    [[nodiscard]] static std::shared_ptr<client_connection>
    connect(net::event_loop& loop, const core::socket_address& address, core::duration timeout);

    client_connection() = default;
    virtual ~client_connection() = default;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// @brief Detects the loss of the remote machine while the connection is idle, by TCP keep-alive probes.
    /// @param[in] interval idle time before the first probe, and time between two probes
    /// @param[in] probes   unanswered probes after which the connection ends
    virtual void set_keep_alive(std::chrono::seconds interval, int probes) = 0;

    /// @brief Starts a request; the connection must be idle.
    virtual void start(const request_header& header, hooks events) = 0;

    /// @brief Sends bytes of the request body.
    virtual void send_body(std::string_view bytes) = 0;

    /// @brief Ends the request body.
    virtual void finish_request() = 0;

    /// @brief Pauses or resumes reading of the response.
    virtual void set_reading(bool enabled) = 0;

    /// @brief Closes the connection at once; no further hook runs.
    virtual void abort() = 0;

    /// @return whether another request can be started on this connection
    [[nodiscard]] virtual bool is_reusable() const noexcept = 0;

    /// @return whether the connection is closed
    [[nodiscard]] virtual bool is_closed() const noexcept = 0;

    /// @return how long the server keeps an idle connection open, from Keep-Alive in its latest response; nothing when
    ///         it has not stated one
    [[nodiscard]] virtual std::optional<core::duration> idle_limit() const noexcept = 0;

    /// @return whether the server closed the connection before the first byte of the response to a request
    [[nodiscard]] virtual bool was_dropped() const noexcept = 0;

    /// @return whether a byte of the current request was passed to the kernel
    [[nodiscard]] virtual bool has_sent_bytes() const noexcept = 0;

    /// @return bytes of the request that are buffered and not yet written to the kernel
    [[nodiscard]] virtual std::size_t pending_bytes() const noexcept = 0;
};

} // namespace poplarport::http
