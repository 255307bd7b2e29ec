#pragma once

#include <functional> // function
#include <memory>     // unique_ptr

#include "poplarport/core/socket_address.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/node/settings.hpp"

namespace poplarport::node
{

/// @brief One node: owns the tasks and connects them.
class node
{
  public:
    /// @param[in] loop       loop of the process
    /// @param[in] settings   settings, checked
    /// @param[in] on_stopped called once when a planned stop is complete
    /// @throw std::system_error when an address cannot be listened on
    node(net::event_loop& loop, const node_settings& settings, std::function<void()> on_stopped);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// @brief Begins a planned stop: no new work, requests in flight finish; on_stopped follows.
    void drain();

    /// @return the address for callers with the port in use
    [[nodiscard]] core::socket_address callers() const;

    /// @return the address for other nodes with the port in use
    [[nodiscard]] core::socket_address peers() const;

    /// @return the address for administration with the port in use
    [[nodiscard]] core::socket_address administration() const;

    struct state;

  private:
    std::unique_ptr<state> data;
};

} // namespace poplarport::node
