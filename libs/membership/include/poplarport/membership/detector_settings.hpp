#pragma once

#include <chrono>  // milliseconds, seconds, minutes
#include <cstddef> // size_t

#include "poplarport/core/time.hpp"

namespace poplarport::membership
{

/// @brief Settings of a detector, the same for all members of a service.
struct detector_settings
{
    /// Time between two probes. One probe per second costs about 1.2 KB/s in both directions.
    core::duration probe_interval{std::chrono::seconds{1}};
    /// Wait for an answer before other members are asked to probe; several round trips between zones.
    core::duration probe_timeout{std::chrono::milliseconds{300}};
    /// Members that are asked for an indirect probe.
    std::size_t indirect_probes{3};
    /// The suspicion lasts this many probe intervals times the decimal logarithm of the group's size (at least 1).
    double suspicion_multiplier{4.0};
    /// Time between two messages that carry only news; none are sent without news.
    core::duration gossip_interval{std::chrono::milliseconds{200}};
    /// Members to which news goes in each gossip interval.
    std::size_t gossip_fanout{3};
    /// Each news item is sent this many times the binary logarithm of the group's size.
    double retransmit_multiplier{3.0};
    /// Copies of a news item that leave an availability zone, those of all its members together. Where members chosen
    /// evenly would send fewer, they are chosen evenly.
    std::size_t copies_between_zones{8};
    /// Time between two exchanges of whole lists.
    core::duration sync_interval{std::chrono::seconds{30}};
    /// Most datagrams of one list; a longer list is sent from a random position.
    std::size_t sync_datagrams{4};
    /// How long a dead or left member is remembered. Must exceed the longest delay of a message.
    core::duration ended_retention{std::chrono::minutes{30}};
    /// Upper bound of the random wait before the first message.
    core::duration start_jitter{std::chrono::seconds{1}};
    /// Longest time between two attempts to reach a seed while no peer is known.
    core::duration join_backoff_limit{std::chrono::seconds{30}};
    /// A `tick` later than this after `next_wakeup` means that the process was frozen.
    core::duration freeze_tolerance{std::chrono::milliseconds{500}};
    /// Members to which a departure is sent directly.
    std::size_t leave_fanout{8};
    /// Largest message, which fits into one unfragmented IPv6 datagram.
    std::size_t message_bytes{1200};
};

} // namespace poplarport::membership
