#pragma once

#include <functional> // function
#include <memory>     // unique_ptr

#include "poplarport/core/socket_address.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/node/settings.hpp"

namespace poplarport::node
{

/// @brief A node of the load balancer; owns the node's tasks and connects them.
class node
{
  public:
    /// @param[in] loop       event loop of the process
    /// @param[in] settings   validated settings
    /// @param[in] on_stopped called once, when a planned stop has completed
    /// @throw std::system_error when the node cannot listen on one of its addresses
    node(net::event_loop& loop, const node_settings& settings, std::function<void()> on_stopped);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// @brief Starts a planned stop: the node accepts no new work, requests in progress finish, and on_stopped is
    /// called at the end.
    void drain();

    /// @return the address for callers, with the port in use
    [[nodiscard]] core::socket_address callers() const;

    /// @return the address for other nodes, with the port in use
    [[nodiscard]] core::socket_address peers() const;

    /// @return the address for administration, with the port in use
    [[nodiscard]] core::socket_address administration() const;

    struct state;

  private:
    std::unique_ptr<state> tasks;
};

} // namespace poplarport::node
