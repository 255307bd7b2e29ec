#pragma once

#include <functional>  // function
#include <memory>      // shared_ptr, unique_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include "poplarport/core/socket_address.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/node/receiver.hpp"
#include "poplarport/node/service_router.hpp"
#include "poplarport/peer/server.hpp"

namespace poplarport::node
{

/// @brief Response to a document request from another node, which is not a call.
struct peer_document
{
    int status{0};
    std::string content_type{};
    std::shared_ptr<const std::string> body{std::make_shared<const std::string>()}; ///< shared by all responses
};

/// @brief Accepts requests from other nodes: calls to the local upstream, and pulls of the configuration and of member
/// lists.
class peer_listener
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        std::function<core::version()> config_version; ///< returns the version under which calls are served
        /// Responds to a request below `/.poplar/`.
        std::function<peer_document(std::string_view target)> document;
        std::function<std::optional<core::duration>()> best_peer_wait; ///< returns the expected wait at the best peer
        std::function<void()> on_drained;                              ///< called when no session is left after drain()
        /// Called with the sender of each call; may be empty.
        std::function<void(const core::socket_address&)> on_caller{};
    };

    /// @param[in] loop     event loop of the node
    /// @param[in] address  address on which other nodes connect
    /// @param[in] identity identity of the node; must outlive the listener
    /// @param[in] service  service of the local upstream
    /// @param[in] events   callbacks into the other parts of the node
    peer_listener(net::event_loop& loop, const core::socket_address& address, const node_identity& identity,
                  std::string service, hooks events);
    ~peer_listener();
    peer_listener(const peer_listener&) = delete;
    peer_listener& operator=(const peer_listener&) = delete;

    /// @brief Sets the receiver; calls are refused while there is none.
    void set_receiver(receiver* local_receiver) noexcept;

    /// @return the listening address, with the port in use
    [[nodiscard]] core::socket_address address() const;

    /// @brief Announces the stop to other nodes; calls in progress finish. on_drained is called at the end.
    void drain();

    /// @return the counters of the listener's sessions
    [[nodiscard]] const peer::counters& statistics() const noexcept;

    /// @return calls in progress
    [[nodiscard]] std::size_t call_count() const noexcept;

  private:
    void handle_call(const std::shared_ptr<peer::server_call>& call);
    void refuse(peer::server_call& call, std::error_code reason);
    [[nodiscard]] bool has_valid_cluster_key(const peer::server_call& call) const;

    net::event_loop* loop;
    const node_identity* identity;
    std::string service;
    hooks events;
    receiver* local{nullptr};
    std::unique_ptr<peer::server> server;
};

} // namespace poplarport::node
