#pragma once

#include <deque>         // deque
#include <memory>        // enable_shared_from_this, shared_ptr, weak_ptr
#include <optional>      // optional
#include <string>        // string
#include <system_error>  // error_code
#include <unordered_set> // unordered_set

#include "poplarport/http/detail/message_parser.hpp"
#include "poplarport/http/server.hpp"
#include "poplarport/net/errors.hpp"
#include "poplarport/net/listener.hpp"
#include "poplarport/net/stream_socket.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::http
{

namespace detail
{
class server_connection;
} // namespace detail

/// @brief State of a server; it owns its connections.
struct server::state
{
    void accept(std::unique_ptr<net::stream_socket> socket);
    void close_all();

    net::event_loop* loop{nullptr};
    limits active_limits{};
    request_hook request_handler{};
    refusal_hook refusal_handler{};
    overlap_hook overlap_predicate{};
    core::socket_address bound_address{};
    bool draining{false};
    std::unordered_set<std::shared_ptr<detail::server_connection>> connections{};
    std::unique_ptr<net::listener> listener{};
};

namespace detail
{

class connection_exchange;

/// @brief One caller's connection: parses its requests and writes their responses in the same order.
///
/// Pipelined requests that may overlap start before the responses to earlier ones are complete; their responses are
/// buffered until all earlier responses are complete.
class server_connection : public std::enable_shared_from_this<server_connection>
{
  public:
    server_connection(server::state& server, std::unique_ptr<net::stream_socket> accepted);

    /// @brief Sets the hooks of the socket.
    void start();

    /// @brief Closes the connection at once and cancels the exchanges in progress.
    void close(std::error_code reason);

    /// @brief Closes the connection if no request is in progress on it.
    void close_if_idle();

  private:
    friend class connection_exchange;

    void handle_bytes(std::string_view bytes);
    void handle_timeout();
    void process();
    bool process_step();
    [[nodiscard]] bool can_parse() const;
    [[nodiscard]] bool can_start();
    [[nodiscard]] bool may_overlap(const request_header& header) const;
    bool handle_step(const parse_step& step);
    bool start_exchange();
    void deliver_body(const parse_step& step);
    void refuse(std::error_code error);
    bool remove_completed_exchange();
    void cancel_exchanges(std::error_code reason);
    void close_after_output();
    void arm_timer();

    server::state* server_state;
    std::unique_ptr<net::stream_socket> socket;
    message_parser parser;
    std::deque<std::shared_ptr<connection_exchange>> exchanges{}; ///< in progress; the first one may write its response
    std::optional<parse_step> pending_step{}; ///< header of a request that starts after the exchanges in progress
    std::error_code pending_error{};          ///< error of the request after the exchanges in progress
    net::timer timeout;
    bool processing{false};
    bool reading{true};
    bool closed{false};
    bool lingering{false};
};

/// @brief Response that is buffered until the responses to all earlier requests are complete.
struct buffered_response
{
    std::optional<response_header> header{};
    std::string body{};
    bool finished{false};
    bool aborted{false};
};

/// @brief A request in progress on a connection, and its response.
class connection_exchange final : public server_exchange
{
  public:
    /// @param[in] parent   connection that carries the request
    /// @param[in] received header section of the request
    /// @param[in] overlaps whether later requests may start before the response to this one is complete
    /// @param[in] is_first whether no earlier request is in progress on the connection
    connection_exchange(std::weak_ptr<server_connection> parent, request_header received, bool overlaps, bool is_first);

    [[nodiscard]] const request_header& request() const noexcept override;
    void set_hooks(hooks new_hooks) override;
    void set_reading(bool enabled) override;
    void send_interim(const response_header& header) override;
    void send_header(response_header header) override;
    void send_body(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    [[nodiscard]] std::size_t pending_bytes() const noexcept override;
    [[nodiscard]] bool request_complete() const noexcept override;
    [[nodiscard]] bool has_followers() const noexcept override;
    [[nodiscard]] core::socket_address caller() const override;

  private:
    friend class server_connection;

    void send_buffered();
    [[nodiscard]] bool has_ended() const noexcept;
    [[nodiscard]] bool has_partial_response() const noexcept;

    std::weak_ptr<server_connection> connection;
    request_header header;
    bool may_overlap;
    std::optional<buffered_response> buffered{};
    std::shared_ptr<hooks> events{std::make_shared<hooks>()};
    bool body_received{false};
    bool header_sent{false};
    bool ended{false};
    bool body_allowed{true};
    bool keep_alive{true};
    body_framing framing{body_framing::none};
    std::uint64_t remaining{0};
};

} // namespace detail

} // namespace poplarport::http
