#pragma once

#include <chrono>     // seconds
#include <cstddef>    // size_t
#include <cstdint>    // uint32_t
#include <functional> // function
#include <memory>     // shared_ptr

#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/http/server.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/peer/counters.hpp"
#include "poplarport/peer/session_clock.hpp"

namespace poplarport::peer
{

/// @brief One call from another node: a stream of a session, with the interface of a caller's request.
///
/// abort() resets the stream. pending_bytes() counts the bytes in the stream's output buffer; on_writable is called
/// when it has become empty.
class server_call : public http::server_exchange
{
  public:
    /// @brief Refuses the call with RST_STREAM and the code REFUSED_STREAM, which proves to the caller that nothing
    /// ran.
    ///
    /// After the header section of the response was sent this is the same as abort(), because the proof would be false.
    virtual void refuse_stream() = 0;

    /// @return the delay estimator of the connection
    [[nodiscard]] virtual session_clock& clock() noexcept = 0;

    /// @return time at which the header section of the call was received
    [[nodiscard]] virtual core::time_point received_at() const noexcept = 0;
};

/// @brief Accepts cleartext HTTP/2 sessions (with prior knowledge) from other nodes.
class server
{
  public:
    using call_hook = std::function<void(std::shared_ptr<server_call>)>;

    /// @brief Maximum sizes and counts of sessions and calls, and the times after which sessions are checked or closed.
    struct limits
    {
        std::size_t header_bytes{32768}; ///< maximum size of a call's header list; a larger one is refused
        std::size_t sessions{1024};      ///< maximum number of open sessions; further ones are closed at once
        std::uint32_t streams{256};      ///< maximum number of concurrent streams per session
        core::duration idle_check_after{std::chrono::seconds{15}}; ///< without a byte for this time: PING
        core::duration silent_after{std::chrono::seconds{5}};      ///< without a byte after a PING: closed
        core::duration drain_step{std::chrono::seconds{1}};        ///< maximum wait for a round trip while draining
    };

    class builder;

    ~server();
    server(server&&) noexcept;
    server& operator=(server&&) noexcept;
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// @return the listening address, with the port in use
    [[nodiscard]] core::socket_address address() const;

    /// @return number of open sessions
    [[nodiscard]] std::size_t session_count() const noexcept;

    /// @return number of streams in progress on all sessions
    [[nodiscard]] std::size_t stream_count() const noexcept;

    /// @return the counters of this server
    [[nodiscard]] const counters& statistics() const noexcept;

    /// @brief Announces the stop by a two-step GOAWAY on each session; streams in progress finish, then sessions close.
    ///
    /// Calls that arrive before the second GOAWAY are still delivered; the owner responds to them or refuses them.
    /// Sessions that are accepted later are drained at once.
    void drain();

    /// @return whether drain() was called and no session is open
    [[nodiscard]] bool is_drained() const noexcept;

    void stop_listening();

    struct state;

  private:
    explicit server(std::shared_ptr<state> shared) noexcept;

    std::shared_ptr<state> data;
};

/// @brief Builds a server.
class server::builder
{
  public:
    /// @param[in] address address to listen on; port 0 selects a free port
    builder& listen_on(core::socket_address address);

    /// @param[in] hook called for each call with a valid header section; it must set the call's callbacks or end the
    /// call
    builder& on_call(call_hook hook);

    /// @param[in] hook called once, when drain() was called and no session is open
    builder& on_drained(std::function<void()> hook);

    /// @param[in] new_limits limits of the server
    builder& with_limits(const limits& new_limits);

    /// @brief Opens the listening socket.
    /// @param[in] loop event loop of the server
    /// @throw std::system_error with net::errc::invalid_address or net::errc::listen_failed
    [[nodiscard]] server build(net::event_loop& loop) const;

  private:
    core::socket_address listen_address{};
    call_hook call{};
    std::function<void()> drained_hook{};
    limits active_limits{};
};

} // namespace poplarport::peer
