#pragma once

#include <functional> // function
#include <memory>     // enable_shared_from_this, shared_ptr

#include "poplarport/node/attempt_channel.hpp"
#include "poplarport/node/receiver.hpp"
#include "poplarport/peer/server.hpp"

namespace poplarport::node::detail
{

/// @brief Connects a call from another node to an attempt at the local upstream.
class peer_call_bridge : public std::enable_shared_from_this<peer_call_bridge>
{
  public:
    /// @param[in] call           call from the other node
    /// @param[in] config_version returns the configuration version under which calls are served
    peer_call_bridge(std::shared_ptr<peer::server_call> call, std::function<core::version()> config_version);

    /// @brief Offers the request to the receiver.
    void start(receiver& target, http::request_header header, received_call received);

  private:
    [[nodiscard]] http::server_exchange::hooks call_hooks();
    [[nodiscard]] attempt_channel::hooks channel_hooks();
    void handle_header(http::response_header& header, const response_context& context);
    void handle_failure(const attempt_failure& failure);

    std::shared_ptr<peer::server_call> call;
    std::function<core::version()> config_version;
    std::shared_ptr<attempt_channel> channel{};
    bool header_sent{false};
};

/// @brief Responds to a call from another node that ended without a response from the upstream.
void respond_to_failure(peer::server_call& call, const attempt_failure& failure, core::version config_version);

} // namespace poplarport::node::detail
