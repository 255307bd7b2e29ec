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

/// @brief A node of an installation in which one configuration routes to many services and every node may send to any
/// other one: owns the tasks and connects them.
class mesh_node
{
  public:
    /// @param[in] loop       loop of the process
    /// @param[in] settings   settings, checked
    /// @param[in] site       the installation; its store must outlive the node
    /// @param[in] on_stopped called once when a planned stop is complete
    /// @throw std::system_error when an address cannot be listened on
    mesh_node(net::event_loop& loop, const mesh_settings& settings, adapter site, std::function<void()> on_stopped);
    ~mesh_node();
    mesh_node(const mesh_node&) = delete;
    mesh_node& operator=(const mesh_node&) = delete;

    /// @brief Takes an announcement of the local upstream.
    /// @param[in] acknowledge called once, when the announcement is in force, with the reason of a rejection if any
    void announce(const registration::announcement& value, const std::function<void(std::error_code)>& acknowledge);

    /// @brief Takes the end of a start of the local upstream.
    void leave(const registration::upstream_start& start, const std::function<void(std::error_code)>& acknowledge);

    /// @brief Answers a readiness check.
    /// @return whether callers should send requests here
    [[nodiscard]] bool answer_readiness();

    /// @return counters and histograms in Prometheus' text format
    [[nodiscard]] std::string metrics_text() const;

    /// @brief Puts changed settings in force: the limits of retries and stops and the level of the log.
    /// @return whether nothing else has changed; the rest is in force after a restart
    bool apply(const mesh_settings& settings);

    /// @brief Begins a planned stop: callers are sent elsewhere, requests in flight finish; on_stopped follows.
    void drain();

    struct state;

  private:
    std::unique_ptr<state> data;
};

} // namespace poplarport::mesh
