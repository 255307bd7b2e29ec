#pragma once

#include <chrono>       // seconds
#include <cstddef>      // size_t
#include <functional>   // function
#include <memory>       // shared_ptr
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/http/message.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/listener.hpp"

namespace poplarport::http
{

/// @brief One request at a server and its response. The owner keeps it until it has called finish() or abort().
///
/// A hook may release the exchange. No hook runs after on_cancelled.
class server_exchange
{
  public:
    /// @brief Hooks of the owner of the exchange; empty ones are skipped.
    struct hooks
    {
        std::function<void(std::string_view)> on_body;     ///< bytes of the request body
        std::function<void()> on_body_end;                 ///< the request is complete
        std::function<void()> on_writable;                 ///< the output buffer is empty again
        std::function<void(std::error_code)> on_cancelled; ///< the connection closed or the request is malformed
    };

    server_exchange() = default;
    virtual ~server_exchange() = default;
    server_exchange(const server_exchange&) = delete;
    server_exchange& operator=(const server_exchange&) = delete;

    /// @return the method, target and header section of the request
    [[nodiscard]] virtual const request_header& request() const noexcept = 0;

    /// @brief Sets the hooks. Must be called once, within the request hook, before the body is delivered.
    virtual void set_hooks(hooks events) = 0;

    /// @brief Pauses or resumes delivery of the request body.
    virtual void set_reading(bool enabled) = 0;

    /// @brief Sends an interim (1xx) response; ignored for HTTP/1.0, after the header section of the final response and
    /// while responses to earlier requests are in progress.
    virtual void send_interim(const response_header& header) = 0;

    /// @brief Sends the status line and header section of the response.
    virtual void send_header(response_header header) = 0;

    /// @brief Sends bytes of the response body; ignored where the response has none (HEAD, 204, 304).
    virtual void send_body(std::string_view bytes) = 0;

    /// @brief Ends the response. Closes the connection instead if the body is shorter than its Content-Length.
    virtual void finish() = 0;

    /// @brief Closes the connection, so that the caller can detect that the response is incomplete. Earlier responses
    /// are still sent. The connection is reset if only its end would end the response.
    ///
    /// Takes effect at once or, while responses to earlier requests are in progress, after these.
    virtual void abort() = 0;

    /// @return bytes of the response that are buffered and not yet written to the kernel
    [[nodiscard]] virtual std::size_t pending_bytes() const noexcept = 0;

    /// @return whether the whole request body was received
    [[nodiscard]] virtual bool request_complete() const noexcept = 0;

    /// @return whether later requests on the connection are in progress; their responses are lost if this one is
    /// aborted
    [[nodiscard]] virtual bool has_followers() const noexcept = 0;

    /// @return the address of the caller
    [[nodiscard]] virtual core::socket_address caller() const = 0;
};

/// @brief Sends a whole response.
void respond(server_exchange& exchange, response_header header, std::string_view body);

/// @brief Sends a whole response in parts, as the connection takes them, so that a large body is not copied for each
/// response in progress. Sets the hooks of the exchange and keeps it until the end.
void respond(const std::shared_ptr<server_exchange>& exchange, response_header header,
             std::shared_ptr<const std::string> body);

/// @brief HTTP/1.1 server on raw stream sockets, with strict parsing, streamed bodies, keep-alive and pipelining.
///
/// Responses to pipelined requests are sent in the order of the requests.
class server
{
  public:
    using request_hook = std::function<void(std::shared_ptr<server_exchange>)>;
    using refusal_hook = std::function<void(std::error_code, response_header&)>;
    using overlap_hook = std::function<bool(const request_header&)>;

    /// @brief Limits of a server.
    struct limits
    {
        std::size_t header_bytes{16384}; ///< maximum size of the header section
        std::size_t connections{1024};   ///< open connections; connections above the limit are closed at once
        core::duration idle_timeout{std::chrono::seconds{75}};   ///< between requests
        core::duration header_timeout{std::chrono::seconds{10}}; ///< for receiving a whole header section
    };

    class builder;

    ~server();
    server(server&&) noexcept;
    server& operator=(server&&) noexcept;
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// @return the local address, with the port in use
    [[nodiscard]] core::socket_address address() const;

    /// @return the number of open connections
    [[nodiscard]] std::size_t connection_count() const noexcept;

    /// @brief Replaces the limits.
    ///
    /// Open connections apply the timeouts from their next request on. The header size and the number of connections
    /// are limited for new connections.
    void set_limits(const limits& new_limits);

    /// @brief Prepares for shutdown: every further response closes its connection.
    ///
    /// Idle connections stay open, because a request may already be in transit on them; see close_idle().
    void drain();

    /// @brief Closes the connections on which no request is in progress.
    void close_idle();

    /// @brief Starts to accept connections on a server that was built with listen_later().
    /// @throw std::system_error with net::errc::listen_failed
    void start_listening();

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
    /// @param[in] address address to listen on; port 0 selects a free port
    builder& listen_on(core::socket_address address);

    /// @brief Binds the address when the server is built, and refuses connections until start_listening().
    builder& listen_later() noexcept;

    /// @param[in] hook called for each request with a valid header section
    builder& on_request(request_hook hook);

    /// @param[in] hook called for each request that is malformed or not received in time; may add fields to the
    ///                 response
    builder& on_refusal(refusal_hook hook);

    /// @brief Lets pipelined requests run concurrently; by default they run one after the other.
    ///
    /// Responses keep the order of the requests. Requests with a body never overlap, and none starts behind a response
    /// of which a part was sent: if that is aborted, the connection closes.
    /// @param[in] hook returns whether a request may run while other requests on its connection are in progress
    ///                 (RFC 9112, section 9.3.2)
    builder& overlap_if(overlap_hook hook);

    /// @param[in] server_limits limits of the server
    builder& with_limits(const limits& server_limits);

    /// @brief Opens the listening socket.
    /// @param[in] loop event loop of the server
    /// @throw std::system_error with net::errc::invalid_address or net::errc::listen_failed
    [[nodiscard]] server build(net::event_loop& loop);

  private:
    core::socket_address listen_address{};
    net::listen_mode mode{net::listen_mode::at_once};
    request_hook request_handler{};
    refusal_hook refusal_handler{};
    overlap_hook overlap_predicate{};
    limits active_limits{};
};

} // namespace poplarport::http
