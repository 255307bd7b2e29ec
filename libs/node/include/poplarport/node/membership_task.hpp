#pragma once

#include <functional> // function
#include <memory>     // shared_ptr, unique_ptr
#include <optional>   // optional
#include <random>     // mt19937_64
#include <string>     // string
#include <vector>     // vector

#include "poplarport/core/socket_address.hpp"
#include "poplarport/membership/seed_duty.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/gossip_task.hpp"
#include "poplarport/node/peer_listener.hpp"
#include "poplarport/node/platform_client.hpp"
#include "poplarport/node/service_router.hpp"

namespace poplarport::node
{

/// @brief Parameters of a membership task.
struct membership_parameters
{
    std::string service;
    core::socket_address callers;
    core::socket_address peers; ///< TCP port in use; datagrams use the same number
    std::string cluster_secret; ///< key that authenticates the datagrams
    /// Peer addresses from the settings, contacted in addition to those in the seeds object, so that a node can start
    /// without the platform.
    std::vector<core::socket_address> seeds;
};

/// @brief Takes part in the membership protocol of the local service and maintains the service's seeds object on the
/// platform.
class membership_task
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        std::function<void(const std::vector<membership::member>&)> on_members; ///< the list of live members changed
        /// A member announced free slots.
        std::function<void(const core::node_id&, std::uint32_t)> on_idle_hint;
        std::function<void()> on_superseded; ///< a later incarnation of this node id is alive elsewhere
    };

    /// @param[in] loop       event loop of the node
    /// @param[in] identity   identity of the node; must outlive the task
    /// @param[in] parameters service and addresses
    /// @param[in] platform   client of the platform; must outlive the task
    /// @param[in] random     random engine of the node
    /// @param[in] events     callbacks into the other parts of the node
    membership_task(net::event_loop& loop, const node_identity& identity, membership_parameters parameters,
                    platform_client& platform, std::mt19937_64& random, hooks events);
    ~membership_task();
    membership_task(const membership_task&) = delete;
    membership_task& operator=(const membership_task&) = delete;

    /// @brief Announces that the node accepts no new work.
    void drain();

    /// @brief Announces that the node leaves the group.
    void leave();

    /// @brief Announces the active version of the configuration.
    void set_configuration_version(core::version version);

    /// @return size of an idle hint on the network, including IP and UDP headers
    [[nodiscard]] std::size_t idle_hint_bytes(std::uint32_t free_slots) const;

    /// @brief Tells a member in one datagram that this node has free slots.
    /// @return size of the encoded hint in bytes, without IP and UDP headers
    std::size_t send_idle_hint(const core::socket_address& to, std::uint32_t free_slots);

    /// @return the live members
    [[nodiscard]] std::vector<membership::member> members() const;

    /// @brief Responds to an observer's pull of the member list.
    /// @param[in] known_hash hash of the list that the observer holds
    [[nodiscard]] peer_document respond_to_pull(std::uint64_t known_hash) const;

    /// @return traffic since construction
    [[nodiscard]] const membership_traffic& traffic() const noexcept
    {
        return this->gossip.traffic();
    }

  private:
    void handle_members(const std::vector<membership::member>& members);
    void read_seeds_at_start();
    void handle_seeds_at_start(const platform_read& result);
    void maintain_seeds();
    void schedule_seeds();
    void handle_seeds(const platform_read& result);
    void handle_written(platform_write result);
    void execute(const membership::seed_action& action);

    net::event_loop* loop;
    membership_parameters parameters;
    platform_client* platform;
    std::mt19937_64* random;
    hooks events;
    membership::seed_duty duty;
    net::timer seeds_wakeup;
    gossip_task gossip;
    bool has_read_seeds{false};
    int reads_while_alone{0};
    core::duration seeds_backoff;
    std::shared_ptr<bool> alive{std::make_shared<bool>(true)};
};

} // namespace poplarport::node
