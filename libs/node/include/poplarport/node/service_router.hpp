#pragma once

#include <functional> // function
#include <map>        // map
#include <memory>     // shared_ptr, unique_ptr
#include <optional>   // optional
#include <random>     // mt19937_64
#include <string>     // string
#include <vector>     // vector

#include "poplarport/attempts/call_action.hpp"
#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/manifest/service_document.hpp"
#include "poplarport/membership/member.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/node/call_driver.hpp"
#include "poplarport/node/node_identity.hpp"
#include "poplarport/node/receiver.hpp"
#include "poplarport/peer/link.hpp"
#include "poplarport/routing/router.hpp"

namespace poplarport::node
{

/// @brief Routing rules of a service, from its configuration.
struct routing_rules
{
    std::uint32_t connection_limit{256};      ///< maximum number of nodes that connect to an endpoint
    std::uint32_t tail_weight_per_mille{500}; ///< weight of low tail latency relative to measuring cost
    core::duration zone_round_trip{std::chrono::milliseconds{2}}; ///< additional latency of a call to another zone
    double zone_preference{0.0};                                  ///< see routing::router_settings
    bool compares_all{false};                                     ///< see routing::router_settings

    bool operator==(const routing_rules&) const = default;
};

/// @brief Reads the routing rules from a service's configuration.
/// @param[in] zone availability zone of the local node
[[nodiscard]] routing_rules to_routing_rules(const manifest::service_document& document, std::string_view zone);

/// @brief Selects endpoints of one service and opens attempts at them, over links that it owns.
class service_router
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        /// Called with the version of the service's configuration under which a peer served a call.
        std::function<void(const core::node_id& peer, core::version version)> on_version_seen;
    };

    /// @param[in] loop     event loop of the node
    /// @param[in] identity identity of the node; must outlive the router
    /// @param[in] service  name of the service
    /// @param[in] random   random engine of the node
    /// @param[in] events   callbacks into the other parts of the node
    service_router(net::event_loop& loop, const node_identity& identity, std::string service, std::mt19937_64& random,
                   hooks events);
    ~service_router();
    service_router(const service_router&) = delete;
    service_router& operator=(const service_router&) = delete;

    /// @brief Sets the receiver of this node, if the node serves this service.
    void set_local(receiver* local_receiver) noexcept;

    /// @brief Applies the configuration of the service.
    void apply(const routing_rules& rules, core::version version);

    /// @brief Replaces the list of live members of the service.
    void set_members(const std::vector<membership::member>& members);

    /// @brief Adds a live member of the service, or replaces its data.
    void update_member(const membership::member& member);

    /// @brief Removes a member; an unknown one is ignored.
    void remove_member(const core::node_id& id);

    /// @brief Selects an endpoint and opens an attempt at it.
    /// @return the attempt, or nothing when no endpoint is left
    [[nodiscard]] std::optional<opened_attempt> open(const attempts::start_parameters& parameters,
                                                     const http::request_header& header,
                                                     const call_description& description,
                                                     attempt_channel::hooks events);

    /// @brief Lists peers that can serve a call sooner than this node, best first.
    /// @param[in] wait_limit upper bound for the expected wait at a listed peer
    [[nodiscard]] std::vector<core::node_id> better_peers(core::duration wait_limit);

    /// @brief Lists peers at which a request ends sooner than on the slowed VM of this node, best first.
    /// @param[in] slowdown     duration of work on this VM relative to its usual duration
    /// @param[in] service_time usual service time of the request
    [[nodiscard]] std::vector<core::node_id> faster_peers(double slowdown, core::duration service_time);

    /// @return whether sending an idle hint for the local endpoint is worth its cost
    [[nodiscard]] bool is_hint_useful(const core::load_report& local_load) const;

    /// @return the expected wait at the best peer, including network latency
    [[nodiscard]] std::optional<core::duration> best_peer_wait() const;

    /// @return the minimum expected wait of all endpoints, or nothing without an endpoint
    [[nodiscard]] std::optional<core::duration> min_expected_wait() const;

    /// @brief Processes an idle hint: an endpoint has free slots.
    void on_idle_hint(const core::node_id& id, std::uint32_t free_slots);

    /// @brief Processes a slowdown notice of an endpoint's VM.
    void on_slowdown_notice(const core::node_id& id, std::uint32_t slowdown_percent);

    /// @return the link to a member, or nullptr when the node is not a member
    [[nodiscard]] peer::link* link_to_member(const core::node_id& id);

    /// @return the link to an address, created if there is none; it exists as long as the address belongs to an
    /// endpoint
    ///         or documents are requested from it
    [[nodiscard]] peer::link& link_to(const core::socket_address& address);

    /// @return the number of endpoints to which the router sends calls
    [[nodiscard]] std::size_t endpoint_count() const noexcept
    {
        return this->router->size();
    }

    /// @return the sum of the counters of all links
    [[nodiscard]] peer::counters link_counters() const;

  private:
    /// Names the first acceptable one of the best known and the best unreported peer.
    [[nodiscard]] std::vector<core::node_id>
    name_peer(const std::function<bool(const routing::choice&)>& is_acceptable);
    void log_selection(const routing::endpoint& target, const call_description& description,
                       const attempts::start_parameters& parameters) const;
    [[nodiscard]] std::optional<routing::endpoint> select_endpoint(const attempts::start_parameters& parameters);
    [[nodiscard]] bool local_has_capacity(const attempts::start_parameters& parameters) const;
    [[nodiscard]] std::shared_ptr<attempt_channel> open_local(const http::request_header& header,
                                                              const call_description& description,
                                                              const attempts::start_parameters& parameters,
                                                              attempt_channel::hooks events);
    [[nodiscard]] std::shared_ptr<attempt_channel> open_remote(const routing::endpoint& target,
                                                               const http::request_header& header,
                                                               const call_description& description,
                                                               const attempts::start_parameters& parameters,
                                                               attempt_channel::hooks events);
    [[nodiscard]] attempt_channel::hooks track(const core::node_id& id, attempt_channel::hooks events);
    void rebuild_router();
    void update_endpoints();
    [[nodiscard]] bool uses_all_members() const;
    void drop_unused_links();

    net::event_loop* loop;
    const node_identity* identity;
    std::string service;
    std::mt19937_64* random;
    hooks events;
    receiver* local{nullptr};
    core::version config_version{0};
    routing_rules rules{};
    std::unique_ptr<routing::router> router;
    std::map<core::node_id, routing::endpoint> members{};
    std::map<core::node_id, routing::endpoint> endpoints{}; ///< the members to which this node sends calls
    std::map<core::socket_address, std::unique_ptr<peer::link>> links{};
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace poplarport::node
