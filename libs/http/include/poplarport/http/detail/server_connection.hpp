#pragma once

#include <memory>        // enable_shared_from_this, shared_ptr, weak_ptr
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
    limits chosen{};
    request_hook request{};
    refusal_hook refusal{};
    core::socket_address bound{};
    bool draining{false};
    std::unordered_set<std::shared_ptr<detail::server_connection>> connections{};
    std::unique_ptr<net::listener> accepting{};
};

namespace detail
{

class connection_exchange;

/// @brief One caller's connection: parses its requests one after the other and writes their answers.
class server_connection : public std::enable_shared_from_this<server_connection>
{
  public:
    server_connection(server::state& server, std::unique_ptr<net::stream_socket> accepted);

    /// @brief Sets the socket's hooks.
    void start();

    /// @brief Closes at once and tells the exchange in progress.
    void close(std::error_code reason);

    /// @brief Closes the connection when no request is in progress on it.
    void close_if_idle();

  private:
    friend class connection_exchange;

    void handle_bytes(std::string_view bytes);
    void handle_timeout();
    void process();
    bool process_step();
    bool begin_exchange();
    void deliver(const parse_step& step);
    void refuse(std::error_code error);
    void end_exchange();
    void close_after_output();
    void arm_timer();

    server::state* owner;
    std::unique_ptr<net::stream_socket> socket;
    message_parser parser;
    std::shared_ptr<connection_exchange> current{};
    net::timer timeout;
    bool processing{false};
    bool reading{true};
    bool closed{false};
    bool lingering{false};
};

/// @brief The exchange in progress on a connection.
class connection_exchange final : public server_exchange
{
  public:
    connection_exchange(std::weak_ptr<server_connection> carrier, request_head received);

    [[nodiscard]] const request_head& request() const noexcept override;
    void set_hooks(hooks values) override;
    void set_reading(bool enabled) override;
    void send_interim(const response_head& head) override;
    void send_head(response_head head) override;
    void send_body(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    [[nodiscard]] std::size_t pending_bytes() const noexcept override;
    [[nodiscard]] bool request_complete() const noexcept override;
    [[nodiscard]] core::socket_address caller() const override;

  private:
    friend class server_connection;

    std::weak_ptr<server_connection> connection;
    request_head head;
    std::shared_ptr<hooks> events{std::make_shared<hooks>()};
    bool body_received{false};
    bool head_sent{false};
    bool ended{false};
    bool body_allowed{true};
    bool keep_alive{true};
    body_framing framing{body_framing::none};
    std::uint64_t remaining{0};
};

} // namespace detail

} // namespace poplarport::http
