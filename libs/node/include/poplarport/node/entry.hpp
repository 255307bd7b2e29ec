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
#include "poplarport/core/socket_address.hpp"
#include "poplarport/http/server.hpp"
#include "poplarport/limits/tenant_limiter.hpp"
#include "poplarport/manifest/lookup.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/call_driver.hpp"

namespace poplarport::node
{

/// @brief The caller-facing side of a node: determines the service, tenant and class of each request, applies the
/// tenant's limits and starts the call.
class entry
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        /// Opens an attempt of a call to a service.
        std::function<std::optional<opened_attempt>(const attempts::start_parameters&, const http::request_header&,
                                                    const call_description&, attempt_channel::hooks)>
            open;
        /// Returns whether this node's upstream calls a service, so that its configuration will be fetched.
        std::function<bool(std::string_view)> is_called_service;
        /// Called for each call that ended, with its tenant and class.
        std::function<void(const call_description&, const call_result&)> on_finished;
        /// Called for each request that was refused before it became a call.
        std::function<void(std::error_code)> on_refused;
    };

    /// @param[in] loop      event loop of the node
    /// @param[in] address   address for callers; connections are refused before start_listening()
    /// @param[in] directory configuration of the services; must outlive the entry
    /// @param[in] random    random engine of the node
    /// @param[in] name      name of the node, the prefix of request ids
    /// @param[in] events    callbacks into the other parts of the node
    entry(net::event_loop& loop, const core::socket_address& address, const manifest::service_directory& directory,
          std::mt19937_64& random, std::string name, hooks events);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    /// @return the listening address, with the port in use
    [[nodiscard]] core::socket_address address() const;

    /// @brief Prepares a stop: every later response closes its connection.
    void drain();

    /// @brief Closes the connections that have no request in progress.
    void close_idle();

    /// @brief Starts accepting connections. A node calls this when it has the configuration of its service, so that
    /// no caller reaches a node without configuration.
    void start_listening();

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
    struct request_context
    {
        std::shared_ptr<const manifest::service_document> document;
        const manifest::tenant_limits* tenant{nullptr};
    };

    void handle_request(const std::shared_ptr<http::server_exchange>& exchange);
    [[nodiscard]] std::optional<request_context> identify(http::server_exchange& exchange);
    [[nodiscard]] std::optional<core::duration> deadline_of(http::server_exchange& exchange,
                                                            const manifest::service& rules);
    [[nodiscard]] bool apply_limits(http::server_exchange& exchange, const request_context& context);
    void begin_call(const std::shared_ptr<http::server_exchange>& exchange, const request_context& context,
                    core::duration deadline);
    void end_call(const core::request_id& id, const call_description& description, const call_result& result);
    void refuse(http::server_exchange& exchange, int status, std::error_code reason,
                std::optional<core::duration> retry_after = std::nullopt);
    [[nodiscard]] attempts::retry_budget& budget_of(const manifest::service& rules);
    [[nodiscard]] core::request_id make_request_id();

    net::event_loop* loop;
    const manifest::service_directory* directory;
    std::mt19937_64* random;
    std::string node_name;
    hooks events;
    call_protocol protocol{default_call_protocol()};
    limits::tenant_limiter limiter{};
    std::unordered_map<std::string, std::unique_ptr<attempts::retry_budget>> budgets{};
    std::unordered_map<core::request_id, std::shared_ptr<call_driver>> calls{};
    net::timer housekeeping;
    std::uint64_t last_request{0};
    std::unique_ptr<http::server> server;
};

} // namespace poplarport::node
