#pragma once

#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr, unique_ptr
#include <optional>   // optional
#include <random>     // mt19937_64
#include <string>     // string
#include <vector>     // vector

#include "poplarport/mesh/configuration_task.hpp"
#include "poplarport/mesh/discovery_task.hpp"
#include "poplarport/mesh/entry.hpp"
#include "poplarport/mesh/evacuation_task.hpp"
#include "poplarport/mesh/mesh_node.hpp"
#include "poplarport/mesh/quota_task.hpp"
#include "poplarport/mesh/upstream_task.hpp"
#include "poplarport/node/gossip_task.hpp"
#include "poplarport/node/peer_listener.hpp"
#include "poplarport/node/service_router.hpp"
#include "poplarport/observability/metrics.hpp"

namespace poplarport::mesh
{

/// @brief The tasks of a mesh node. Members are declared in dependency order.
struct mesh_node::state
{
    state(net::event_loop& owner, const mesh_settings& node_settings, adapter installation_adapter,
          std::function<void()> stopped_hook);

    void connect_peers();
    void connect_upstream();
    void connect_store();
    void connect_callers();
    void add_gauges();
    void on_route_table(const std::shared_ptr<const routes::route_table>& table);
    void on_member_events(const std::vector<membership::member_event>& events);
    void update_member(const membership::member& member);
    void remove_member(const core::node_id& id);
    void on_deregistered(const std::string& instance, std::function<void()> done);
    void publish_slowdown();
    void share_quotas();
    [[nodiscard]] std::optional<limits::quota> quota_of(const std::string& tenant) const;
    [[nodiscard]] core::node_id quota_owner_of(const std::string& tenant) const;
    void update_quota_members();
    void send_quota_reports(const core::node_id& owner, const std::vector<limits::quota_report>& reports);
    void announce_quotas(const std::vector<limits::quota_decision>& decisions);
    void on_quota_reports(const core::socket_address& from, const wire::quota_reports& reports);
    void watch_evacuations();
    void on_evacuations(const evacuation::zone_state& state);
    void on_evacuation_notice(const core::socket_address& from, const wire::evacuation_notice& notice);
    void send_evacuations(const evacuation::zone_state& state, std::size_t copies);
    [[nodiscard]] bool is_evacuated(const std::string& zone) const;
    void route_to(const membership::member& member);
    [[nodiscard]] node::service_router& router_of(const std::string& service);
    [[nodiscard]] peer::link* link_of(const core::node_id& id);
    [[nodiscard]] node::peer_document respond_to_peer(std::string_view target) const;
    void drain();
    void check_drained();

    net::event_loop* loop;
    mesh_settings settings;
    adapter platform_adapter;
    std::function<void()> on_stopped;
    node::node_identity identity;
    std::mt19937_64 random;
    observability::metrics metrics{};
    std::map<core::node_id, membership::member> members{}; ///< live members, including this one
    std::map<std::string, std::unique_ptr<node::service_router>> routers{};
    std::map<std::string, core::time_point> recent_callers{}; ///< time of the last call, by host
    std::unique_ptr<upstream_task> upstream{};
    std::unique_ptr<node::peer_listener> peers{};
    std::unique_ptr<node::gossip_task> gossip{};
    std::unique_ptr<configuration_task> configuration{};
    std::unique_ptr<discovery_task> discovery{};
    std::unique_ptr<evacuation_task> evacuations{};     ///< null if zones are never evacuated
    std::unique_ptr<quota_task> quotas{};               ///< null until a configuration has tenants
    std::shared_ptr<const routes::route_table> table{}; ///< null until the first configuration
    std::unique_ptr<entry> callers{};
    net::timer drain_timer;
    core::time_point drain_started{};
    int unready_responses{0};
    bool draining{false};
    bool stopped{false};
};

} // namespace poplarport::mesh
