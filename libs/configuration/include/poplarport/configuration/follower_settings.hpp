#pragma once

#include <chrono>  // milliseconds, seconds
#include <cstddef> // size_t

#include "poplarport/core/time.hpp"

namespace poplarport::configuration
{

/// @brief Settings of a follower.
struct follower_settings
{
    /// Members of a service that watch the platform. Three survive two failures at a time; 2,200 services then cause
    /// 6,600 waiting watches.
    std::size_t watchers{3};
    /// Peers that are asked at start before the platform is.
    std::size_t start_peers{3};
    /// How long a start waits for the first peers to be known before it turns to the platform.
    core::duration start_wait{std::chrono::seconds{2}};
    /// Upper bound of the random wait before the first request and before a pull from a peer.
    core::duration jitter{std::chrono::milliseconds{200}};
    /// A request without an answer counts as failed after this time.
    core::duration request_timeout{std::chrono::seconds{5}};
    /// A watch without an answer counts as failed after this time; longer than the platform holds a watch.
    core::duration watch_timeout{std::chrono::seconds{40}};
    /// Wait after a failed request; doubles with each further one.
    core::duration back_off{std::chrono::milliseconds{500}};
    core::duration back_off_limit{std::chrono::seconds{30}};
    /// Limit for the first-ranked watcher, so that a change accepted after an outage is in force within 5 s. 2,200
    /// services then cause about 980 calls per second during an outage, half of the platform's rate of reads.
    core::duration first_watcher_back_off_limit{std::chrono::seconds{3}};
    /// How long a peer is not asked after it served a document that was refused.
    core::duration avoidance{std::chrono::minutes{1}};
    /// Sources that are counted separately; further ones are counted together.
    std::size_t counted_sources{256};
};

} // namespace poplarport::configuration
