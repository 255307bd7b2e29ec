#pragma once

#include <cstddef>      // size_t
#include <memory>       // enable_shared_from_this, shared_ptr
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/http/client_connection.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/receiver.hpp"

namespace poplarport::node::detail
{

/// @brief An attempt at the local upstream: waits for a slot, sends the request and streams the response.
class local_channel final : public attempt_channel, public std::enable_shared_from_this<local_channel>
{
  public:
    local_channel(receiver& owner, std::string ticket, http::request_header header, received_call call, hooks events);

    /// @brief Sends the request; called when the admission gate has assigned it a slot.
    void dispatch();

    /// @brief Tells a sender that holds the body back that the request is queued or admitted.
    void notify_accepted();

    /// @brief Ends the attempt as refused, with proof that nothing was sent to the upstream.
    /// @param[in] better peers with a shorter expected wait, best first
    void refuse(std::error_code reason, std::vector<core::node_id> better);

    void send_body(std::string_view bytes) override;
    void finish_request() override;
    void set_reading(bool enabled) override;
    void cancel() override;
    [[nodiscard]] std::size_t pending_bytes() const noexcept override;
    [[nodiscard]] bool has_sent_bytes() const noexcept override;

  private:
    enum class state
    {
        waiting,
        dispatched,
        responding,
        ended
    };

    [[nodiscard]] http::client_connection::hooks connection_hooks();
    void handle_header(http::response_header& header);
    void handle_body(std::string_view bytes);
    void handle_end();
    void end_refused(bool connection_is_reusable);
    void handle_failure(const http::client_failure& failure);
    void handle_deadline();
    void fail(attempts::attempt_event event, std::error_code reason);
    void log_end(std::error_code reason) const;
    void close_connection(bool reusable);
    [[nodiscard]] response_context context() const;

    receiver* owner;
    std::string ticket;
    http::request_header header;
    received_call call;
    std::shared_ptr<hooks> events;
    core::time_point offered_at;
    state phase{state::waiting};
    std::string buffered_body{};
    bool request_finished{false};
    /// Set when the response's header section proves that the upstream did not run the request.
    std::error_code refusal_reason{};
    std::size_t refusal_body_bytes{0};
    core::time_point dispatched_at{};
    std::uint32_t slowdown_at_dispatch{100};
    std::shared_ptr<http::client_connection> connection{};
    net::timer deadline_timer;
};

} // namespace poplarport::node::detail
