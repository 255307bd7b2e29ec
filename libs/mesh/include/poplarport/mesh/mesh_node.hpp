#pragma once

#include <functional>   // function
#include <memory>       // unique_ptr
#include <system_error> // error_code

#include "poplarport/mesh/adapter.hpp"
#include "poplarport/mesh/settings.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/registration/registry.hpp"

namespace poplarport::mesh
{

/// @brief A node of a mesh; owns the node's tasks and connects them.
///
/// In a mesh, one configuration holds the routes to all services, and every node may send calls to every other node.
class mesh_node
{
  public:
    /// @param[in] loop             event loop of the process
    /// @param[in] settings         validated settings
    /// @param[in] platform_adapter adapter of the installation; its object store must outlive the node
    /// @param[in] on_stopped       called once, when a planned stop has completed
    /// @throw std::system_error when the node cannot listen on one of its addresses
    mesh_node(net::event_loop& loop, const mesh_settings& settings, adapter platform_adapter,
              std::function<void()> on_stopped);
    ~mesh_node();
    mesh_node(const mesh_node&) = delete;
    mesh_node& operator=(const mesh_node&) = delete;

    /// @brief Processes a heartbeat of the local upstream.
    /// @param[in] acknowledge called once, when the heartbeat has taken effect or was rejected; the error code is empty
    ///                        unless it was rejected
    void on_heartbeat(const registration::upstream_heartbeat& heartbeat,
                      const std::function<void(std::error_code)>& acknowledge);

    /// @brief Deregisters an instance of the local upstream.
    /// @param[in] acknowledge called once; the error code is empty unless the deregistration was rejected
    void on_deregistration(const registration::upstream_instance& instance,
                           const std::function<void(std::error_code)>& acknowledge);

    /// @brief Responds to a readiness check.
    /// @return whether callers should send requests to this node
    [[nodiscard]] bool respond_to_readiness_check();

    /// @return counters and histograms in Prometheus' text format
    [[nodiscard]] std::string metrics_text() const;

    /// @brief Applies changed settings: the retry limits, the time limits of a stop and the log level.
    /// @return false when other settings have changed too; those take effect only after a restart
    bool apply(const mesh_settings& settings);

    /// @brief Starts a planned stop: readiness checks report the node as not ready, so that callers go to other nodes;
    /// requests in progress finish; then on_stopped is called.
    void drain();

    struct state;

  private:
    std::unique_ptr<state> data;
};

} // namespace poplarport::mesh
