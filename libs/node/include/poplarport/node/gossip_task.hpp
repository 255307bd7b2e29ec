#pragma once

#include <functional>  // function
#include <random>      // mt19937_64
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/core/load_report.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/membership/detector.hpp"
#include "poplarport/net/datagram_socket.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/wire/datagram.hpp"

namespace poplarport::node
{

/// @brief Traffic counters of the membership protocol.
struct membership_traffic
{
    std::uint64_t datagrams_in{0};
    std::uint64_t datagrams_out{0};
    std::uint64_t bytes_in{0};
    std::uint64_t bytes_out{0};
    std::uint64_t refused{0}; ///< datagrams that were malformed or failed authentication
};

/// @brief Parameters of a gossip task.
struct gossip_parameters
{
    std::string group;       ///< name of the group; messages of other groups are ignored
    membership::member self; ///< entry of the local member
    std::string cluster_secret;
    membership::detector_settings settings{};
    std::vector<core::socket_address> seeds{};
};

/// @return the incarnation number of a process that starts now: the system clock in microseconds
[[nodiscard]] core::incarnation make_incarnation();

/// @brief Runs a membership detector over a datagram socket at the member's peer address.
class gossip_task
{
  public:
    /// @brief Callbacks into the other parts of the node; empty ones are skipped.
    struct hooks
    {
        /// The list of live members changed; the list is copied for this hook.
        std::function<void(const std::vector<membership::member>&)> on_members;
        /// Changes of members, including this one; cheaper than `on_members` in a large group.
        std::function<void(const std::vector<membership::member_event>&)> on_events{};
        std::function<void(const core::node_id&, std::uint32_t)> on_idle_hint; ///< a member announced free slots
        /// A member sent a slowdown notice: the current duration of work in percent of the usual one.
        std::function<void(const core::node_id&, std::uint32_t)> on_slowdown_notice;
        /// A node told which availability zones are evacuated.
        std::function<void(const core::socket_address& from, const wire::evacuation_notice&)> on_evacuation_notice{};
        /// A node reported the requests of tenants whose quotas this node owns.
        std::function<void(const core::socket_address& from, const wire::quota_reports&)> on_quota_reports{};
        std::function<void(const wire::quota_decisions&)> on_quota_decisions{}; ///< the owner of quotas has decided
        std::function<void()> on_superseded; ///< a later incarnation of this node id is alive elsewhere
        /// A member has not responded to a direct probe in time; others may have failed with it.
        std::function<void()> on_probe_timeout{};
    };

    /// @param[in] loop       event loop of the node
    /// @param[in] parameters parameters of the group and of the local member
    /// @param[in] random     random engine of the node
    /// @param[in] events     callbacks into the other parts of the node
    gossip_task(net::event_loop& loop, gossip_parameters parameters, std::mt19937_64& random, hooks events);
    ~gossip_task() = default;
    gossip_task(const gossip_task&) = delete;
    gossip_task& operator=(const gossip_task&) = delete;

    /// @brief Applies a function to the detector and sends the resulting messages.
    void update(const std::function<void(membership::detector&, core::time_point)>& change);

    /// @brief Contacts the addresses that do not belong to a live member.
    void contact(const std::vector<core::socket_address>& addresses);

    /// @brief Checks at once whether members respond; those that do not become suspect.
    void check(const std::vector<core::node_id>& ids);

    /// @brief Announces that the local member leaves the group.
    void leave();

    /// @brief Sends a datagram other than a membership message.
    void send(const core::socket_address& to, const std::string& bytes);

    /// @return the live members
    [[nodiscard]] std::vector<membership::member> members() const;

    /// @return the membership detector
    [[nodiscard]] const membership::detector& detector() const noexcept
    {
        return this->protocol;
    }

    /// @return traffic since construction
    [[nodiscard]] const membership_traffic& traffic() const noexcept
    {
        return this->totals;
    }

  private:
    void handle_datagram(const core::socket_address& from, std::string_view bytes);
    void act_on(const membership::detector_output& output);
    void schedule();

    net::event_loop* loop;
    gossip_parameters parameters;
    std::mt19937_64* random;
    hooks events;
    membership::detector protocol;
    net::timer wakeup;
    net::datagram_socket socket;
    membership_traffic totals{};
};

} // namespace poplarport::node
