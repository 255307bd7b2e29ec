#pragma once

#include <chrono>  // milliseconds, seconds
#include <cstddef> // size_t

#include "poplarport/core/time.hpp"

namespace poplarport::configuration
{

/// @brief Settings of a follower.
struct follower_settings
{
    /// Number of members of a service that watch the platform. Three tolerate two simultaneous failures; 2,200 services
    /// then cause 6,600 pending watches.
    std::size_t watchers{3};
    /// Number of peers queried at start before the platform.
    std::size_t start_peers{3};
    /// Maximum wait at start for the first known peers before the platform is queried.
    core::duration start_wait{std::chrono::seconds{2}};
    /// Upper bound of the random delay before the first request and before a pull from a peer.
    core::duration jitter{std::chrono::milliseconds{200}};
    /// Time after which a request without a response counts as failed.
    core::duration request_timeout{std::chrono::seconds{5}};
    /// Time after which a watch without a response counts as failed; must exceed the time that the platform holds a
    /// watch.
    core::duration watch_timeout{std::chrono::seconds{40}};
    /// Initial delay after a failed request; doubles with each further failure.
    core::duration backoff{std::chrono::milliseconds{500}};
    core::duration backoff_limit{std::chrono::seconds{30}};
    /// Backoff limit for the first-ranked watcher, so that a change accepted after an outage takes effect within 5 s.
    /// 2,200 services then cause about 980 calls per second during an outage, half of the platform's read rate.
    core::duration first_watcher_backoff_limit{std::chrono::seconds{3}};
    /// Time for which a peer is not queried after it served a rejected document.
    core::duration rejected_source_backoff{std::chrono::minutes{1}};
    /// Maximum number of sources with separate counters; further ones share one.
    std::size_t counted_sources{256};
};

} // namespace poplarport::configuration
