#pragma once

#include <cstdint>       // uint64_t
#include <functional>    // function
#include <memory>        // shared_ptr, unique_ptr
#include <optional>      // optional
#include <random>        // mt19937_64
#include <string>        // string
#include <string_view>   // string_view
#include <system_error>  // error_code
#include <unordered_map> // unordered_map

#include "poplarport/attempts/retry_budget.hpp"
#include "poplarport/http/server.hpp"
#include "poplarport/limits/tenant_limiter.hpp"
#include "poplarport/measuring/class_durations.hpp"
#include "poplarport/mesh/adapter.hpp"
#include "poplarport/mesh/settings.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/node/call_driver.hpp"
#include "poplarport/routes/route_table.hpp"
#include "poplarport/routes/weighted_round_robin.hpp"

namespace poplarport::mesh
{

/// @brief The caller-facing side of a mesh node: matches each request to a route and starts the call.
class entry
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        /// Opens an attempt of a call to a service.
        std::function<std::optional<node::opened_attempt>(const attempts::start_parameters&,
                                                          const http::request_header&, const node::call_description&,
                                                          node::attempt_channel::hooks)>
            open;
        /// Called for each call that ended.
        std::function<void(const node::call_description&, const node::call_result&)> on_finished;
        /// Called for each request that was refused before it became a call.
        std::function<void(std::error_code)> on_refused;
        /// Admits a request of a tenant within its quota, or refuses it; must be set if configurations have tenants.
        std::function<limits::verdict(const tenants::tenant&)> admit_tenant{};
        std::function<void(const std::string& tenant)> give_back{}; ///< an admitted request has not run
        std::function<std::size_t()> node_count; ///< returns the number of nodes that share the retry budgets
        /// Returns the minimum expected wait of all endpoints of a service, or nothing without an endpoint.
        std::function<std::optional<core::duration>(const std::string& service)> expected_wait;
    };

    /// @param[in] loop             event loop of the node
    /// @param[in] settings         settings of the node; must outlive the entry
    /// @param[in] platform_adapter adapter of the installation; must outlive the entry
    /// @param[in] random_engine    random engine of the node
    /// @param[in] events           callbacks into the other parts of the node
    entry(net::event_loop& loop, const mesh_settings& settings, const adapter& platform_adapter,
          std::mt19937_64& random_engine, hooks events);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    /// @brief Applies a configuration to later requests.
    void apply(std::shared_ptr<const routes::route_table> new_table);

    /// @brief Prepares a stop: every later response closes its connection, and no later call outlasts the stop.
    /// @param[in] stop_time when the node stops
    void drain(core::time_point stop_time);

    /// @brief Ends the calls in progress; each caller receives a response that says whether its request may have run.
    void end_calls();

    /// @brief Closes the connections that have no request in progress.
    void close_idle();

    void stop_listening();

    /// @return calls in progress
    [[nodiscard]] std::size_t calls_in_progress() const noexcept
    {
        return this->calls.size();
    }

    /// @return open connections of callers
    [[nodiscard]] std::size_t connection_count() const noexcept
    {
        return this->server->connection_count();
    }

  private:
    struct call_context
    {
        const routes::route* route{nullptr};
        std::string service;
        caller_request caller;
        const tenants::tenant* tenant{nullptr}; ///< null for a request without a tenant
    };

    void handle_request(const std::shared_ptr<http::server_exchange>& exchange);
    [[nodiscard]] bool is_repeatable(const http::request_header& header) const;
    [[nodiscard]] std::optional<call_context> identify(http::server_exchange& exchange);
    void begin_call(const std::shared_ptr<http::server_exchange>& exchange, const call_context& context);
    void end_call(std::uint64_t number, const node::call_description& description, const node::call_result& result);
    [[nodiscard]] bool is_admitted(http::server_exchange& exchange, const call_context& context);
    void refuse(http::server_exchange& exchange, int status, std::error_code reason, core::request_id id,
                std::optional<core::duration> retry_delay = std::nullopt, std::string_view tenant = {});
    [[nodiscard]] core::duration retry_after(std::optional<core::duration> expected_wait, std::uint32_t priority) const;
    [[nodiscard]] attempts::retry_budget& budget_of(const std::string& service);

    net::event_loop* loop;
    const mesh_settings* settings;
    const adapter* platform_adapter;
    std::mt19937_64* random;
    hooks events;
    std::shared_ptr<const routes::route_table> table{};
    routes::weighted_round_robin shares{};
    std::unordered_map<std::string, core::duration> max_time_limits{}; ///< maximum time limit of a caller, by route
    std::unordered_map<std::string, std::unique_ptr<attempts::retry_budget>> budgets{};
    measuring::class_durations latencies{}; ///< of answered calls, by route
    node::buffer_budget pipelined_responses;
    std::unordered_map<std::uint64_t, std::shared_ptr<node::call_driver>> calls{};
    std::uint64_t last_call_number{0};
    std::optional<core::time_point> stops_at{}; ///< when the node stops, during a planned stop
    std::unique_ptr<http::server> server;
};

} // namespace poplarport::mesh
