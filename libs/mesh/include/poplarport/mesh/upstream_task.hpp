#pragma once

#include <cstdint>      // uint64_t
#include <functional>   // function
#include <memory>       // shared_ptr, unique_ptr
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/mesh/adapter.hpp"
#include "poplarport/mesh/settings.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/receiver.hpp"
#include "poplarport/registration/cold_start.hpp"
#include "poplarport/registration/registry.hpp"
#include "poplarport/routes/configuration.hpp"

namespace poplarport::mesh
{

/// @brief Tracks the local upstream: its heartbeats, its status checks, and whether it accepts work.
class upstream_task
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        std::function<void(bool accepting)> on_accepting; ///< the upstream began or stopped accepting work
        /// An instance of the upstream deregistered; `done` must be called once the deregistration is stored, or could
        /// not be stored within a time limit.
        std::function<void(const std::string& instance, std::function<void()> done)> on_deregistered;
        std::function<void()> on_slowdown; ///< the upstream's slowdown has changed considerably
        /// Returns whether the deregistrations stored by earlier processes have been read.
        std::function<bool()> deregistrations_loaded;
        /// Lists peers with an expected wait below the limit, best first.
        std::function<std::vector<core::node_id>(core::duration wait_limit)> better_peers;
        /// See node::receiver::hooks::faster_peers.
        std::function<std::vector<core::node_id>(double slowdown, core::duration service_time)> faster_peers;
    };

    /// @param[in] loop             event loop of the node
    /// @param[in] settings         settings of the node
    /// @param[in] platform_adapter adapter of the installation; must outlive the task
    /// @param[in] events           callbacks into the other parts of the node
    upstream_task(net::event_loop& loop, const mesh_settings& settings, const adapter& platform_adapter, hooks events);
    ~upstream_task() = default;
    upstream_task(const upstream_task&) = delete;
    upstream_task& operator=(const upstream_task&) = delete;

    /// @brief Applies the configuration of the upstream's service.
    void apply(const routes::service& new_service);

    /// @brief Processes a heartbeat.
    /// @param[in] acknowledge called once; the error code is empty unless the heartbeat was rejected
    void on_heartbeat(const registration::upstream_heartbeat& heartbeat,
                      const std::function<void(std::error_code)>& acknowledge);

    /// @brief Deregisters an instance of the upstream.
    /// @param[in] acknowledge called once; the error code is empty unless the deregistration was rejected
    void on_deregistration(const registration::upstream_instance& instance,
                           const std::function<void(std::error_code)>& acknowledge);

    /// @brief Restores a deregistration that an earlier process of this node has published to other nodes.
    void record_deregistration(const std::string& instance);

    /// @brief Sets whether the zone of the upstream is evacuated, so that it gets no new work.
    void set_evacuated(bool evacuated);

    /// @return the receiver of calls to the upstream
    [[nodiscard]] node::receiver& receiver() noexcept
    {
        return *this->local_receiver;
    }

    /// @return requests per second that the upstream takes, as it stated last; empty for no limit
    [[nodiscard]] std::optional<double> max_request_rate() const noexcept
    {
        return this->max_rate;
    }

    /// @return whether the upstream is cold
    [[nodiscard]] bool is_cold() const noexcept
    {
        return this->cold.is_cold(this->loop->now());
    }

    /// @return requests per second that a cold upstream may get, warm-up included; empty for no limit
    [[nodiscard]] std::optional<double> cold_limit() const noexcept
    {
        return this->applied_cold_limit;
    }

    /// @return whether the upstream accepts work
    [[nodiscard]] bool accepting() const noexcept
    {
        return this->is_accepting;
    }

  private:
    [[nodiscard]] node::receiver_limits limits() const;
    void set_slots(std::uint32_t new_slots);
    void check();
    void refresh(std::function<void()> done);
    void check_new_instance();
    void start_check();
    void finish_load_requests();
    void handle_check(const http::response_header* response);
    void handle_load(const node::upstream_load& load);
    void handle_notice(const node::upstream_notice& notice, std::string_view source);
    void handle_failed_check();
    void handle_cold_statement(const status_report& report);
    void update_cold_limit(std::string_view source);
    void set_down(bool down, std::string_view reason);
    [[nodiscard]] bool awaits_response() const;
    void update(std::string_view reason);
    void log_rejected(const registration::upstream_instance& instance, std::optional<std::uint64_t> sequence,
                      std::error_code error) const;
    void notify_deregistered(const std::function<void(std::error_code)>& acknowledge);

    net::event_loop* loop;
    const adapter* platform_adapter;
    core::duration drain_limit;
    cold_start_settings cold_rules;
    hooks events;
    registration::registry registry;
    std::unique_ptr<node::receiver> local_receiver;
    routes::service service{};
    core::time_point started_at;
    std::uint32_t published_slowdown{100};
    std::uint32_t slots{1};
    std::optional<double> max_rate{}; ///< requests per second that the upstream takes, as it stated last
    registration::cold_start cold{};
    std::optional<double> applied_cold_limit{};
    core::time_point last_check_at{};
    int failed_checks{0};
    bool is_evacuated{false};
    bool is_down{false};
    bool has_responded{false}; ///< the current instance has responded to a status check
    bool is_accepting{false};
    bool is_checking{false};
    std::vector<std::function<void()>> load_requests{};
    net::timer check_timer;
    net::timer wait_timer;
};

} // namespace poplarport::mesh
