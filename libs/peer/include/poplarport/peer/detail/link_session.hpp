#pragma once

#include <memory>        // enable_shared_from_this, shared_ptr, weak_ptr
#include <unordered_set> // unordered_set

#include "poplarport/peer/detail/session.hpp"
#include "poplarport/peer/link.hpp"

namespace poplarport::peer
{

namespace detail
{
class link_session;
} // namespace detail

/// @brief State of a link. Owns the current connection and the connections that are shutting down.
struct link::state : std::enable_shared_from_this<link::state>
{
    /// @return the connection for a new call, or nullptr while the link is in backoff
    [[nodiscard]] std::shared_ptr<detail::link_session> usable_session();
    [[nodiscard]] std::size_t call_count() const noexcept;
    void close_all();
    void increase_backoff();

    net::event_loop* loop{nullptr};
    core::socket_address target{};
    limits active_limits{};
    hooks owner_hooks{};
    bool closed{false};
    core::duration backoff{0};
    core::time_point next_attempt{};
    std::shared_ptr<counters> totals{std::make_shared<counters>()};
    std::shared_ptr<detail::link_session> current{};
    std::unordered_set<std::shared_ptr<detail::link_session>> sessions{};
};

namespace detail
{

/// @brief The client side of a connection, opened by a link.
class link_session final : public session
{
  public:
    explicit link_session(const std::shared_ptr<link::state>& link);

  private:
    [[nodiscard]] std::shared_ptr<stream> accept_stream() override;
    void handle_connected() override;
    void handle_first_bytes() override;
    void handle_closed(std::error_code reason) override;

    std::weak_ptr<link::state> owner;
    bool has_received{false};
};

/// @brief A call on a stream of a link's connection.
class client_stream final : public client_call, public stream
{
  public:
    client_stream(std::weak_ptr<session> owner, const http::request_header& header, hooks callbacks);

    void send_body(std::string_view bytes) override;
    void finish_request() override;
    void set_reading(bool enabled) override;
    proof cancel() override;
    [[nodiscard]] std::size_t pending_bytes() const noexcept override;

    /// @brief Fails the call in a later iteration of the event loop, before any part of it was submitted.
    void fail_later(net::event_loop& loop, std::error_code error);

  private:
    [[nodiscard]] bool receive_header(const header_block& received, bool has_body) override;
    void receive_body(std::string_view bytes) override;
    void receive_end() override;
    void output_drained() override;
    void closed(std::error_code error, proof not_run) override;
    void fail(const call_failure& failure);
    void fail_wrong_length();

    std::shared_ptr<hooks> events;
    bool request_was_head;
    bool is_fixed;
    bool ended{false};
    std::uint64_t remaining;
};

} // namespace detail

} // namespace poplarport::peer
