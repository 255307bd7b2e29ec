#pragma once

#include <chrono>       // milliseconds, seconds
#include <cstddef>      // size_t
#include <functional>   // function
#include <memory>       // shared_ptr
#include <system_error> // error_code

#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/http/message.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/peer/client_call.hpp"
#include "poplarport/peer/counters.hpp"

namespace poplarport::peer
{

/// @brief The client side of one long-lived HTTP/2 connection to another node.
///
/// The connection is established when a call needs it. After a connection on which no byte was received, further
/// calls fail at once with link_backing_off until a delay has passed, so that the caller can select another endpoint. A
/// connection that is shutting down or silent is replaced at the next call.
class link
{
  public:
    /// @brief Limits of a link.
    struct limits
    {
        std::size_t header_bytes{32768};                         ///< maximum size of a response's header list
        std::size_t calls{1024};                                 ///< maximum number of calls in progress
        core::duration connect_timeout{std::chrono::seconds{1}}; ///< time limit for establishing a connection
        core::duration initial_backoff{std::chrono::milliseconds{50}};
        core::duration max_backoff{std::chrono::seconds{2}};
        core::duration check_after{std::chrono::milliseconds{500}};  ///< without a byte during a call: PING
        core::duration silent_after{std::chrono::milliseconds{500}}; ///< without a byte after a PING: silent
        core::duration idle_check_after{std::chrono::seconds{15}};   ///< without a byte while no call runs: PING
    };

    /// @brief Callbacks of the link's owner; empty ones are skipped.
    struct hooks
    {
        std::function<void()> on_connected;             ///< a connection was established
        std::function<void(std::error_code)> on_closed; ///< a connection ended or could not be established
    };

    class builder;

    /// @brief Closes the connection; calls in progress fail with link_closed.
    ~link();
    link(link&&) noexcept;
    link& operator=(link&&) noexcept;
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    /// @brief Starts a call. Its body follows by send_body() and finish_request() unless the framing is none.
    /// @param[in] header header section of the request; hop-by-hop fields are not sent
    /// @param[in] events callbacks of the call; a failure is never reported before this function has returned
    /// @return the call
    [[nodiscard]] std::shared_ptr<client_call> start(const http::request_header& header, client_call::hooks events);

    /// @brief Closes the connection; calls in progress and later calls fail with link_closed.
    void close();

    /// @return the address of the other node
    [[nodiscard]] const core::socket_address& address() const noexcept;

    /// @return whether there is an established connection that accepts new calls
    [[nodiscard]] bool is_connected() const noexcept;

    /// @return number of calls in progress on all connections
    [[nodiscard]] std::size_t call_count() const noexcept;

    /// @return the counters of this link
    [[nodiscard]] const counters& statistics() const noexcept;

    struct state;

  private:
    explicit link(std::shared_ptr<state> shared) noexcept;

    std::shared_ptr<state> data;
};

/// @brief Builds a link.
class link::builder
{
  public:
    /// @param[in] address address of the other node's peer listener
    builder& connect_to(core::socket_address address);

    /// @param[in] new_limits limits of the link
    builder& with_limits(const limits& new_limits);

    /// @param[in] events callbacks of the owner
    builder& with_hooks(hooks events);

    /// @brief Builds the link; it connects at the first call.
    /// @param[in] loop event loop of the link
    [[nodiscard]] link build(net::event_loop& loop) const;

  private:
    core::socket_address target{};
    limits active_limits{};
    hooks owner_hooks{};
};

} // namespace poplarport::peer
