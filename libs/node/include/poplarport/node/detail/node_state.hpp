#pragma once

#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr, unique_ptr
#include <random>     // mt19937_64
#include <string>     // string

#include "poplarport/control/server.hpp"
#include "poplarport/manifest/lookup.hpp"
#include "poplarport/measuring/budget.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/configuration_task.hpp"
#include "poplarport/node/entry.hpp"
#include "poplarport/node/membership_task.hpp"
#include "poplarport/node/node.hpp"
#include "poplarport/node/observer_task.hpp"
#include "poplarport/node/peer_listener.hpp"
#include "poplarport/node/platform_client.hpp"
#include "poplarport/node/receiver.hpp"
#include "poplarport/node/service_router.hpp"
#include "poplarport/observability/metrics.hpp"

namespace poplarport::node
{

/// @brief The tasks of a node. Members are declared in dependency order.
struct node::state
{
    /// @brief Routing state of a service that the node's upstream calls.
    struct called_service
    {
        std::unique_ptr<service_router> router;
        std::unique_ptr<observer_task> observer;
    };

    state(net::event_loop& event_loop, const node_settings& initial_settings, std::function<void()> stopped);

    void connect();
    void add_gauges();
    void add_routes(control::server::builder& builder);
    void on_document(const std::shared_ptr<const manifest::service_document>& document, core::version version);
    [[nodiscard]] bool are_called_services_ready() const;
    void on_local_document(const manifest::service_document& document, core::version version);
    void follow_called_services(const manifest::service& rules);
    void on_local_members(const std::vector<membership::member>& members);
    void on_slot_free();
    [[nodiscard]] service_router* router_of(const std::string& service);
    [[nodiscard]] peer_document respond_to_peer(std::string_view target);
    [[nodiscard]] std::string status_text() const;
    [[nodiscard]] bool is_ready() const;
    void drain();
    void check_drained();

    net::event_loop* loop;
    node_settings settings;
    std::function<void()> on_stopped;
    node_identity identity;
    std::mt19937_64 random;
    call_protocol protocol{default_call_protocol()};
    observability::metrics metrics{};
    platform_client platform;
    manifest::service_directory directory{};
    measuring::budget measuring_budget;
    std::unique_ptr<service_router> local_router{};
    std::map<std::string, called_service> called_services{};
    std::unique_ptr<receiver> local_receiver{};
    std::unique_ptr<configuration_task> configuration{};
    std::unique_ptr<peer_listener> peers{};
    std::unique_ptr<membership_task> membership{};
    std::unique_ptr<entry> callers{};
    std::unique_ptr<control::server> administration{};
    net::timer drain_timer;
    core::duration drain_time;
    core::time_point configured_at{};
    core::time_point drain_started{};
    std::size_t next_hint_member{0};
    bool draining{false};
    bool stopped{false};
};

} // namespace poplarport::node
