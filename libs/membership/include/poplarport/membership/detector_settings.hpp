#pragma once

#include <chrono>  // milliseconds, seconds, minutes
#include <cstddef> // size_t

#include "poplarport/core/time.hpp"

namespace poplarport::membership
{

/// @brief Settings of a detector, the same for all members of a service.
struct detector_settings
{
    /// Interval between two probes. One probe per second costs about 1.2 KB/s in both directions.
    core::duration probe_interval{std::chrono::seconds{1}};
    /// Wait for a response before indirect probes are requested; covers several round trips between zones.
    core::duration probe_timeout{std::chrono::milliseconds{300}};
    /// Number of members from which an indirect probe is requested.
    std::size_t indirect_probes{3};
    /// A suspicion lasts `probe_interval * suspicion_multiplier * max(1, log10(group size))`.
    double suspicion_multiplier{4.0};
    /// Interval between two messages with only gossip updates; none are sent while no update is pending.
    core::duration gossip_interval{std::chrono::milliseconds{200}};
    /// Number of members to which updates are sent in each gossip interval.
    std::size_t gossip_fanout{3};
    /// Each gossip update is sent this many times the binary logarithm of the group size.
    double retransmit_multiplier{3.0};
    /// Number of copies of a gossip update that all members of an availability zone together send to other zones. Where
    /// a uniform selection of targets would send fewer, targets are selected uniformly.
    std::size_t copies_between_zones{8};
    /// Interval between two exchanges of complete lists.
    core::duration sync_interval{std::chrono::seconds{30}};
    /// Interval from a member that joined to an exchange of lists, which finds the joins that gossip has missed.
    core::duration join_sync_delay{std::chrono::seconds{2}};
    /// Delay after a list with members that joined, to the request for the rest of the list.
    core::duration list_repeat_delay{std::chrono::milliseconds{100}};
    /// Maximum number of datagrams per list; of a longer list, whole parts are sent, starting at a random one.
    std::size_t sync_datagrams{4};
    /// Time for which a dead or left member is kept. Must exceed the maximum delay of a message.
    core::duration ended_retention{std::chrono::minutes{30}};
    /// Upper bound of the random delay before the first message.
    core::duration start_jitter{std::chrono::seconds{1}};
    /// Maximum interval between two attempts to reach a seed while no peer is known.
    core::duration join_backoff_limit{std::chrono::seconds{30}};
    /// A `tick` later than this after `next_wakeup` means that the process was frozen.
    core::duration freeze_tolerance{std::chrono::milliseconds{500}};
    /// Number of members to which this member's leave is sent directly.
    std::size_t leave_fanout{8};
    /// Maximum size of a message, which fits into one unfragmented IPv6 datagram.
    std::size_t message_bytes{1200};
};

} // namespace poplarport::membership
