#pragma once

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <map>      // map
#include <optional> // optional
#include <random>   // mt19937_64
#include <string>   // string
#include <vector>   // vector

#include "poplarport/core/time.hpp"
#include "poplarport/membership/detail/gossip_queue.hpp"
#include "poplarport/membership/detail/member_table.hpp"
#include "poplarport/membership/detector_settings.hpp"
#include "poplarport/membership/member_event.hpp"
#include "poplarport/membership/message.hpp"

namespace poplarport::membership
{

/// @brief A datagram to send.
struct outgoing
{
    core::socket_address to;
    membership::message message;
};

/// @brief Datagrams that the owner of a detector must send, and membership changes to process.
struct detector_output
{
    std::vector<outgoing> messages;
    std::vector<member_event> events;
    bool probe_timed_out{false}; ///< a member has not responded to a direct probe in time
};

/// @brief Monotonic counters of a detector.
struct detector_counters
{
    std::uint64_t other_service{0};  ///< messages of another service (code 600)
    std::uint64_t other_target{0};   ///< pings for another member (code 601)
    std::uint64_t unmatched_acks{0}; ///< late or duplicate acks
    std::uint64_t refutations{0};    ///< reports that this member is suspect, dead or left, which it refuted
    std::uint64_t suspicions{0};     ///< members that did not respond to a probe of this member
    std::uint64_t freezes{0};        ///< detected freezes of this process
    std::uint64_t oversized{0};      ///< entries that are too large to send
    std::uint64_t relays_refused{0}; ///< indirect probes not relayed because too many were in progress
};

/// @brief Maintains the list of a service's members by probing and gossip (SWIM).
///
/// In each interval one remote member is probed, first directly and then through other members. A member that does not
/// respond becomes suspect; it is declared dead unless it refutes in time with a higher revision. Updates are
/// piggybacked on the probes and, while any are pending, also sent in separate small messages. Lists are compared
/// periodically, also with dead and left members, so that the sides of a healed partition find each other.
///
/// The owner calls `tick` at `next_wakeup`. A much later tick means that the process was frozen; the timers of all
/// members are then restarted, because their responses may be unread in the socket.
class detector
{
  public:
    class builder;

    /// @brief Replaces the addresses from the seeds object, which are contacted while no remote member is known.
    void set_seeds(std::vector<core::socket_address> addresses);

    /// @brief Contacts a few addresses of the seeds object that belong to no live member.
    ///
    /// Groups that formed separately find each other this way. Each contact exchanges complete lists.
    [[nodiscard]] detector_output contact_seeds(std::vector<core::socket_address> addresses,
                                                std::mt19937_64& random) const;

    /// @brief Pings members beside the regular probes; one that does not respond within the probe timeout is suspect.
    ///
    /// The regular probes reach each member once in as many intervals as there are members. The ping is repeated once,
    /// so that a single lost datagram causes no suspicion. Unknown and suspect members are ignored, and so are those
    /// whose check is in progress.
    /// @param[in] ids the members
    /// @param[in] now current time
    [[nodiscard]] detector_output check(const std::vector<core::node_id>& ids, core::time_point now);

    /// @brief Sends probes, gossip updates and list comparisons that are due.
    /// @param[in]     now    current time
    /// @param[in,out] random source of jitter and random selections
    [[nodiscard]] detector_output tick(core::time_point now, std::mt19937_64& random);

    /// @brief Processes a datagram.
    /// @param[in]     from     source address of the datagram, to which a response is sent
    /// @param[in]     received the decoded message
    /// @param[in]     now      current time
    /// @param[in,out] random   source of jitter and random selections
    [[nodiscard]] detector_output receive(const core::socket_address& from, const message& received,
                                          core::time_point now, std::mt19937_64& random);

    /// @brief Announces that this member accepts no new work; cannot be reverted.
    void drain(core::time_point now);

    /// @brief Announces that this member leaves; afterwards the detector is passive.
    /// @return the announcement, addressed to some members
    [[nodiscard]] detector_output leave(core::time_point now, std::mt19937_64& random);

    /// @brief Announces the newest configuration version that this member holds; a lower one is ignored.
    ///
    /// It is sent in the headers of this member's messages and not relayed by other members.
    void set_configuration_version(core::version version, core::time_point now);

    /// @brief Announces whether this member's upstream accepts new work; unlike drain(), this can be reverted.
    void set_accepting(bool accepting, core::time_point now);

    /// @brief Announces whether this member reaches the store; if not, another member watches the store in its place.
    void set_reaches_store(bool reaches, core::time_point now);

    /// @brief Announces that an instance of this member's upstream has deregistered.
    /// @param[in] instance the instance; not empty
    void set_deregistered(std::string instance, core::time_point now);

    /// @return the live members including this one, ordered by id
    [[nodiscard]] std::vector<member> members() const;

    /// @brief Creates the response to an observer or another reader of the list.
    /// @param[in] known_hash hash of the list that the reader holds; zero for none
    /// @param[in] now        current time
    /// @return all members including this one and the dead or left ones within the retention, or only that the list is
    ///         unchanged
    [[nodiscard]] list_response list(std::uint64_t known_hash, core::time_point now) const;

    /// @return the entry of this member
    [[nodiscard]] const member& self() const noexcept
    {
        return this->local_member;
    }

    /// @return when `tick` must be called next
    [[nodiscard]] core::time_point next_wakeup() const;

    [[nodiscard]] const detector_counters& counters() const noexcept
    {
        return this->counts;
    }

  private:
    struct probe_state
    {
        core::node_id target;
        std::uint64_t sequence{0};
        core::time_point direct_end;
        bool indirect_sent{false};
    };

    /// @brief A check of a member, started by the owner.
    struct check_state
    {
        std::uint64_t sequence{0};
        core::time_point repeat_at; ///< when the ping is repeated; the maximum once it has been
        core::time_point end;
    };

    struct relay
    {
        core::socket_address requester;
        std::uint64_t sequence{0};
        core::time_point expiry;
    };

    detector(std::string service_name, member self, const detector_settings& settings,
             std::vector<core::socket_address> seed_addresses, core::time_point now, std::mt19937_64& random);

    [[nodiscard]] bool passive() const noexcept;
    void detect_freeze(core::time_point now, std::mt19937_64& random);
    void expect_wakeup(core::time_point now);

    void probe_when_due(core::time_point now, std::mt19937_64& random, detector_output& output);
    void start_probe(core::time_point now, std::mt19937_64& random, detector_output& output);
    void send_indirect_probes(core::time_point now, std::mt19937_64& random, detector_output& output);
    void suspect_probed(core::time_point now, std::mt19937_64& random, detector_output& output);
    void suspect(const core::node_id& id, core::time_point now, std::mt19937_64& random, detector_output& output);
    void send_ping(const core::node_id& id, std::uint64_t sequence, core::time_point now, detector_output& output);
    void advance_checks(core::time_point now, std::mt19937_64& random, detector_output& output);
    [[nodiscard]] std::optional<core::node_id> next_target(std::mt19937_64& random);
    void expire_members(core::time_point now, detector_output& output);
    void gossip_when_due(core::time_point now, std::mt19937_64& random, detector_output& output);
    void sync_when_due(core::time_point now, std::mt19937_64& random, detector_output& output);
    void join(core::time_point now, std::mt19937_64& random, detector_output& output);

    void handle(const core::socket_address& from, const ping& request, core::time_point now, std::mt19937_64& random,
                detector_output& output);
    void handle(const core::socket_address& from, const ack& response, core::time_point now, std::mt19937_64& random,
                detector_output& output);
    void handle(const core::socket_address& from, const indirect_ping& request, core::time_point now,
                std::mt19937_64& random, detector_output& output);
    void handle(const core::socket_address& from, const sync_request& request, core::time_point now,
                std::mt19937_64& random, detector_output& output);
    void handle(const core::socket_address& from, const member_updates& updates, core::time_point now,
                std::mt19937_64& random, detector_output& output);

    void apply_all(const std::vector<member_entry>& entries, core::time_point now, std::mt19937_64& random,
                   detector_output& output);
    void apply(const member_entry& entry, core::time_point now, std::mt19937_64& random, detector_output& output);
    void apply_about_self(const member& claimed, core::time_point now, detector_output& output);
    void publish_self(core::time_point now);

    [[nodiscard]] message_header header() const;
    [[nodiscard]] std::vector<member_entry> entries(core::time_point now) const;
    [[nodiscard]] std::vector<member_entry> take_gossip(std::size_t used_bytes, const core::node_id& receiver,
                                                        bool about_receiver, core::time_point now);
    [[nodiscard]] bool differs_from_table(const member& sender) const;
    [[nodiscard]] sync_request make_sync_request() const;
    [[nodiscard]] core::socket_address select_sync_partner(std::mt19937_64& random);
    [[nodiscard]] std::vector<member_entry> differing_entries(const std::vector<std::uint32_t>& receiver_parts,
                                                              const std::vector<std::uint32_t>& own_parts,
                                                              core::time_point now, std::mt19937_64& random) const;
    void send_list(const core::socket_address& to, bool response_requested,
                   const std::vector<std::uint32_t>& receiver_parts, core::time_point now, std::mt19937_64& random,
                   detector_output& output) const;
    [[nodiscard]] std::vector<const member*> select_live(std::size_t count, const core::node_id& except,
                                                         std::mt19937_64& random) const;
    [[nodiscard]] std::vector<const member*> select_gossip_targets(std::mt19937_64& random) const;
    [[nodiscard]] std::uint64_t local_hash() const;
    [[nodiscard]] core::duration suspicion_time() const;
    [[nodiscard]] std::size_t max_transmissions() const;

    std::string service;
    member local_member;
    detector_settings limits;
    std::vector<core::socket_address> seeds;
    detail::member_table table;
    detail::gossip_queue pending_updates;
    std::vector<core::node_id> probe_order;
    std::optional<probe_state> probe;
    std::map<core::node_id, check_state> checks;
    std::map<std::uint64_t, relay> relays;
    std::uint64_t last_sequence{0};
    core::time_point next_probe;
    core::time_point next_gossip;
    core::time_point next_sync;
    bool is_sync_early{false};                       ///< the next exchange of lists follows a change of the group
    std::optional<core::socket_address> list_sender; ///< of an incomplete list, partner of the next exchange
    core::time_point expected_wakeup;
    core::duration join_backoff{0};
    bool is_superseded{false};
    detector_counters counts;
};

/// @brief Builder of a detector.
class detector::builder
{
  public:
    /// @param[in] name name of the service
    builder& service(std::string name);

    /// @param[in] entry entry of this member, with its current incarnation
    builder& self(member entry);

    /// @param[in] new_settings settings, which must be the same for all members of the service
    builder& settings(const detector_settings& new_settings);

    /// @param[in] addresses peer addresses from the seeds object; may include this member's
    builder& seeds(std::vector<core::socket_address> addresses);

    /// @param[in]     now    current time
    /// @param[in,out] random source of jitter and of the first sequence number
    [[nodiscard]] detector build(core::time_point now, std::mt19937_64& random) const;

  private:
    std::string service_name;
    member local_member;
    detector_settings limits;
    std::vector<core::socket_address> seed_addresses;
};

} // namespace poplarport::membership
