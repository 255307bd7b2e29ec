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

namespace poplarport::node
{

/// @brief Traffic of membership since the start.
struct membership_traffic
{
    std::uint64_t datagrams_in{0};
    std::uint64_t datagrams_out{0};
    std::uint64_t bytes_in{0};
    std::uint64_t bytes_out{0};
    std::uint64_t refused{0}; ///< datagrams that could not be decoded or were not authentic
};

/// @brief What a gossip task tells and needs.
struct gossip_parameters
{
    std::string group;       ///< name of the group; messages of another one are ignored
    membership::member self; ///< this member's entry
    std::string cluster_secret;
    membership::detector_settings settings{};
    std::vector<core::socket_address> seeds{};
};

/// @return the incarnation of a process that starts now
[[nodiscard]] core::incarnation incarnation_of_this_start();

/// @brief Runs a membership detector over a datagram socket at the member's peer address.
class gossip_task
{
  public:
    /// @brief Hooks to the rest of the node; an empty one is skipped.
    struct hooks
    {
        /// The list of live members changed.
        std::function<void(const std::vector<membership::member>&)> on_members;
        std::function<void(const core::node_id&, std::uint32_t)> on_idle_hint; ///< a member announced free slots
        /// The speed of a member's VM has changed; in percent of the usual duration of work.
        std::function<void(const core::node_id&, std::uint32_t)> on_speed;
        std::function<void()> on_superseded; ///< a later start of this node's id is alive elsewhere
    };

    /// @param[in] loop       loop of the node
    /// @param[in] parameters group and entry of this member
    /// @param[in] random     random engine of the node
    /// @param[in] events     hooks to the rest of the node
    gossip_task(net::event_loop& loop, gossip_parameters parameters, std::mt19937_64& random, hooks events);
    ~gossip_task() = default;
    gossip_task(const gossip_task&) = delete;
    gossip_task& operator=(const gossip_task&) = delete;

    /// @brief Changes the detector by a function and sends what follows from the change.
    void update(const std::function<void(membership::detector&, core::time_point)>& change);

    /// @brief Contacts those addresses that belong to no live member.
    void contact(const std::vector<core::socket_address>& addresses);

    /// @brief Announces the end of the node.
    void leave();

    /// @brief Sends a datagram that is no membership message.
    void send(const core::socket_address& to, const std::string& bytes);

    /// @return the live members
    [[nodiscard]] std::vector<membership::member> members() const;

    /// @return the detector
    [[nodiscard]] const membership::detector& detector() const noexcept
    {
        return this->protocol;
    }

    /// @return traffic since the start
    [[nodiscard]] const membership_traffic& traffic() const noexcept
    {
        return this->counted;
    }

  private:
    void handle_datagram(const core::socket_address& from, std::string_view bytes);
    void act_on(const membership::detector_output& output);
    void schedule();

    net::event_loop* loop;
    gossip_parameters own;
    std::mt19937_64* random;
    hooks events;
    membership::detector protocol;
    net::timer wakeup;
    net::datagram_socket socket;
    membership_traffic counted{};
};

} // namespace poplarport::node
