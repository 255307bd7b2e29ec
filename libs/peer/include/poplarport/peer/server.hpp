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

/// @brief One call from another node: a stream of a session, handled like a caller's request.
///
/// abort() resets the stream. pending_bytes() counts the stream's own buffer; on_writable follows when it is empty.
class server_call : public http::server_exchange
{
  public:
    /// @brief Refuses the call by RST_STREAM with REFUSED_STREAM, which proves to the caller that nothing ran.
    ///
    /// After the head of the answer was sent this is abort(), because the proof would be false.
    virtual void refuse_stream() = 0;

    /// @return the delay estimator of the connection
    [[nodiscard]] virtual session_clock& clock() noexcept = 0;

    /// @return when the head of the call was received
    [[nodiscard]] virtual core::time_point received_at() const noexcept = 0;
};

/// @brief Accepts HTTP/2 cleartext sessions (prior knowledge) of other nodes.
class server
{
  public:
    using call_hook = std::function<void(std::shared_ptr<server_call>)>;

    /// @brief Limits of a server.
    struct limits
    {
        std::size_t header_bytes{32768}; ///< greatest header list of a call; a larger one is refused
        std::size_t sessions{1024};      ///< open sessions; further ones are closed at once
        std::uint32_t streams{256};      ///< streams in progress per session
        core::duration idle_check_after{std::chrono::seconds{15}}; ///< no byte: PING
        core::duration silent_after{std::chrono::seconds{5}};      ///< no byte after a PING: closed
        core::duration drain_step{std::chrono::seconds{1}};        ///< longest wait for a round trip while draining
    };

    class builder;

    ~server();
    server(server&&) noexcept;
    server& operator=(server&&) noexcept;
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// @return the address with the port in use
    [[nodiscard]] core::socket_address address() const;

    /// @return the number of open sessions
    [[nodiscard]] std::size_t session_count() const noexcept;

    /// @return the number of streams in progress on all sessions
    [[nodiscard]] std::size_t stream_count() const noexcept;

    /// @return the totals of this server
    [[nodiscard]] const counters& statistics() const noexcept;

    /// @brief Announces the stop by a two-step GOAWAY on each session; streams in flight finish, sessions then close.
    ///
    /// Calls that arrive before the second GOAWAY are still delivered; the owner answers or refuses them. Sessions that
    /// are accepted later are drained at once.
    void drain();

    /// @return whether drain() was called and no session is left
    [[nodiscard]] bool is_drained() const noexcept;

    /// @brief Stops accepting connections.
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
    /// @param[in] address address to listen on; port 0 takes a free port
    builder& listen_on(core::socket_address address);

    /// @param[in] hook called for each call whose head is valid; it must set the call's hooks or end it
    builder& on_call(call_hook hook);

    /// @param[in] hook called once, when drain() was called and no session is left
    builder& on_drained(std::function<void()> hook);

    /// @param[in] values limits of the server
    builder& with_limits(const limits& values);

    /// @brief Opens the listening socket.
    /// @param[in] loop loop of the server
    /// @throw std::system_error with net::errc::invalid_address or net::errc::listen_failed
    [[nodiscard]] server build(net::event_loop& loop) const;

  private:
    core::socket_address listen_address{};
    call_hook call{};
    std::function<void()> drained{};
    limits chosen{};
};

} // namespace poplarport::peer
