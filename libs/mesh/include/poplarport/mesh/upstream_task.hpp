#pragma once

#include <functional> // function
#include <memory>     // shared_ptr, unique_ptr
#include <string>     // string

#include "poplarport/mesh/adapter.hpp"
#include "poplarport/mesh/settings.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/receiver.hpp"
#include "poplarport/registration/registry.hpp"
#include "poplarport/routes/configuration.hpp"

namespace poplarport::mesh
{

/// @brief Follows the upstream beside the node: its announcements, its status checks, and whether it takes work.
class upstream_task
{
  public:
    /// @brief Hooks to the rest of the node.
    struct hooks
    {
        std::function<void(bool accepting)> on_accepting; ///< whether the upstream takes work has changed
        /// A start of the upstream announced its departure; `done` is called when that is kept.
        std::function<void(const std::string& start, std::function<void()> done)> on_departed;
        std::function<void()> on_slowdown; ///< the upstream's speed has changed considerably
        std::function<bool()> knows_past;  ///< whether departures that earlier processes have kept are known
        std::function<std::vector<core::node_id>(core::duration wait_limit)> better_peers;
    };

    /// @param[in] loop     loop of the node
    /// @param[in] settings settings of the node
    /// @param[in] site     the installation; must outlive the task
    /// @param[in] events   hooks to the rest of the node
    upstream_task(net::event_loop& loop, const mesh_settings& settings, const adapter& site, hooks events);
    ~upstream_task() = default;
    upstream_task(const upstream_task&) = delete;
    upstream_task& operator=(const upstream_task&) = delete;

    /// @brief Puts the configuration of the upstream's service in force.
    void apply(const routes::service& rules);

    /// @brief Takes an announcement.
    /// @param[in] acknowledge called once with the reason of a rejection, or without one
    void announce(const registration::announcement& value, const std::function<void(std::error_code)>& acknowledge);

    /// @brief Takes the end of a start of the upstream.
    void leave(const registration::upstream_start& start, const std::function<void(std::error_code)>& acknowledge);

    /// @brief Remembers a departure that an earlier process of this node has announced to others.
    void remember_departed(const std::string& start);

    /// @return the receiving side
    [[nodiscard]] node::receiver& receiver() noexcept
    {
        return *this->receiving;
    }

    /// @return whether the upstream takes work
    [[nodiscard]] bool accepting() const noexcept
    {
        return this->is_accepting;
    }

  private:
    [[nodiscard]] node::receiver_limits limits() const;
    void set_slots(std::uint32_t value);
    void check();
    void refresh(std::function<void()> done);
    void start_check();
    void release_waiting();
    void handle_check(const http::response_head* answer);
    void handle_load(const node::upstream_load& load);
    void handle_failed_check();
    void set_down(bool down, std::string_view reason);
    void update(std::string_view reason);
    void depart(const std::function<void(std::error_code)>& acknowledge);

    net::event_loop* loop;
    const adapter* site;
    core::duration drain_limit;
    hooks events;
    registration::registry registry;
    std::unique_ptr<node::receiver> receiving;
    routes::service rules{};
    core::time_point started_at;
    std::uint32_t published_slowdown{100};
    std::uint32_t slots{1};
    int failed_checks{0};
    bool is_down{false};
    bool is_accepting{false};
    bool is_checking{false};
    std::vector<std::function<void()>> waiting_for_load{};
    net::timer check_timer;
    net::timer wait_timer;
};

} // namespace poplarport::mesh
