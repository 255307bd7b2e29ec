#pragma once

#include <functional>    // function
#include <memory>        // shared_ptr, unique_ptr, weak_ptr
#include <unordered_set> // unordered_set

#include "poplarport/net/listener.hpp"
#include "poplarport/peer/detail/session.hpp"
#include "poplarport/peer/server.hpp"

namespace poplarport::peer
{

namespace detail
{
class server_session;
} // namespace detail

/// @brief State of a server; it owns its sessions.
struct server::state : std::enable_shared_from_this<server::state>
{
    void accept(std::unique_ptr<net::stream_socket> socket);
    void close_all();
    void notify_if_drained();

    net::event_loop* loop{nullptr};
    limits active_limits{};
    call_hook call{};
    std::function<void()> drained_hook{};
    core::socket_address bound_address{};
    bool draining{false};
    std::shared_ptr<counters> totals{std::make_shared<counters>()};
    std::unordered_set<std::shared_ptr<detail::server_session>> sessions{};
    std::unique_ptr<net::listener> listener{};
};

namespace detail
{

/// @brief A session that another node opened.
class server_session final : public session
{
  public:
    explicit server_session(const std::shared_ptr<server::state>& server);

    /// @brief Passes a call to the owner's callback.
    void deliver(std::shared_ptr<server_call> call) const;

  private:
    [[nodiscard]] std::shared_ptr<stream> accept_stream() override;
    void handle_connected() override;
    void handle_first_bytes() override;
    void handle_closed(std::error_code reason) override;

    std::weak_ptr<server::state> owner;
};

/// @brief A call on a stream of a session.
class server_stream final : public server_call, public stream
{
  public:
    explicit server_stream(std::weak_ptr<session> owner) noexcept;

    [[nodiscard]] const http::request_header& request() const noexcept override;
    void set_hooks(hooks new_hooks) override;
    void set_reading(bool enabled) override;
    void send_interim(const http::response_header& response) override;
    void send_header(http::response_header response) override;
    void send_body(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    [[nodiscard]] std::size_t pending_bytes() const noexcept override;
    [[nodiscard]] bool request_complete() const noexcept override;
    [[nodiscard]] bool has_followers() const noexcept override
    {
        return false;
    }
    [[nodiscard]] core::socket_address caller() const override;
    void refuse_stream() override;
    [[nodiscard]] session_clock& clock() noexcept override;
    [[nodiscard]] core::time_point received_at() const noexcept override;

  private:
    [[nodiscard]] bool receive_header(const header_block& received, bool has_body) override;
    void receive_body(std::string_view bytes) override;
    void receive_end() override;
    void output_drained() override;
    void closed(std::error_code error, proof not_run) override;
    void reset(std::uint32_t code);

    http::request_header header{};
    core::time_point header_received_at{};
    std::shared_ptr<hooks> events{std::make_shared<hooks>()};
    session_clock fallback_clock{}; ///< used instead of the session's clock once the session has ended
    bool ended{false};
    bool header_sent{false};
    bool body_allowed{true};
    bool is_fixed{false};
    std::uint64_t remaining{0};
};

} // namespace detail

} // namespace poplarport::peer
