#pragma once

#include <optional>     // optional
#include <string>       // string
#include <system_error> // error_code
#include <vector>       // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::admission
{

/// @brief A request for a slot of the upstream.
struct ticket
{
    core::request_id id;       ///< unique among the queued and running requests
    std::string tenant;        ///< name of the tenant
    std::string traffic_class; ///< class of the request within the tenant
    core::time_point
        deadline; ///< latest end of the request, or its latest start if `limits::deadline_bounds_start` is set
    std::optional<core::duration>
        best_peer_wait; ///< expected wait at the best peer, including the network latency of the redirect
};

/// @brief What the owner must do with an offered ticket.
enum class action
{
    admit, ///< dispatch the request now
    queue, ///< keep the request; a later `changes` starts or refuses it
    refuse ///< the request does not run here
};

/// @brief A refused ticket and the reason.
struct refusal
{
    core::request_id id;
    std::error_code reason; ///< one of `errors`

    bool operator==(const refusal&) const = default;
};

/// @brief Decision on an offered ticket.
struct decision
{
    action disposition{action::refuse};
    std::error_code reason{};           ///< set if the ticket is refused
    std::optional<refusal> displaced{}; ///< queued ticket that is refused in favour of the offered one
};

/// @brief Queued tickets that leave the queue now.
struct changes
{
    std::vector<core::request_id> started; ///< dispatch these requests now
    std::vector<refusal> refused;          ///< these requests do not run here
};

} // namespace poplarport::admission
