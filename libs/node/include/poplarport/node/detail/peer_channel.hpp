#pragma once

#include <memory> // enable_shared_from_this, shared_ptr
#include <string> // string

#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/attempt_channel.hpp"
#include "poplarport/peer/client_call.hpp"
#include "poplarport/peer/link.hpp"

namespace poplarport::node::detail
{

/// @brief Header field with the key by which nodes of a cluster authenticate to each other.
inline constexpr const char* cluster_key_field = "poplar-cluster-key";

/// @brief Header field with the name of the service that a call between nodes addresses.
inline constexpr const char* service_field = "poplar-service";

/// @brief Header field that marks a call as redirected by another receiver; such a call is not redirected again.
inline constexpr const char* redirected_field = "poplar-redirected";

/// @brief Header field that requests a response `100 Continue` when the receiver has queued or admitted the call.
inline constexpr const char* awaits_acceptance_field = "poplar-awaits-acceptance";

/// @brief An attempt at another node, sent over a peer link.
///
/// A large request body is held back until the other node has accepted the call: most refusals come within a round
/// trip, and the body would only delay other requests on the receiver's link.
class peer_channel final : public attempt_channel, public std::enable_shared_from_this<peer_channel>
{
  public:
    peer_channel(net::event_loop& loop, hooks events);

    /// @brief Starts the call. Separate from the constructor because the call's callbacks hold a weak pointer to the
    /// channel.
    void start(peer::link& link, const http::request_header& header);

    void send_body(std::string_view bytes) override;
    void finish_request() override;
    void set_reading(bool enabled) override;
    void cancel() override;
    [[nodiscard]] std::size_t pending_bytes() const noexcept override;
    [[nodiscard]] bool has_sent_bytes() const noexcept override;

  private:
    [[nodiscard]] peer::client_call::hooks call_hooks();
    void release_body();
    void handle_header(http::response_header& header);
    void handle_end();
    void handle_failure(const peer::call_failure& failure);
    void fail(const attempt_failure& failure);

    std::shared_ptr<hooks> events;
    std::shared_ptr<peer::client_call> call{};
    response_context context{};
    bool ended{false};
    bool holds_body{false};
    bool body_finished{false};
    std::string held_body{};
    net::timer acceptance_timer;
};

} // namespace poplarport::node::detail
