#pragma once

#include <optional>     // optional
#include <string>       // string
#include <system_error> // error_code
#include <vector>       // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::admission
{

/// @brief A request that asks for a slot of the upstream.
struct ticket
{
    core::request_id id;                          ///< unique among the queued and running requests
    std::string tenant;                           ///< tenant of the request
    std::string traffic_class;                    ///< class of the request within the tenant
    core::time_point deadline;                    ///< the answer is useless after this instant
    std::optional<core::duration> wait_elsewhere; ///< expected wait at the best peer, the redirect's travel included
};

/// @brief What happens to an offered ticket.
enum class action
{
    admit, ///< dispatch the request now
    queue, ///< keep the request; it starts, or is refused, in a later `changes`
    refuse ///< the request does not run here
};

/// @brief A ticket that does not run, and why.
struct refusal
{
    core::request_id id;
    std::error_code reason; ///< one of `errors`

    bool operator==(const refusal&) const = default;
};

/// @brief Answer to an offered ticket.
struct decision
{
    action what{action::refuse};
    std::error_code reason{};           ///< set when the ticket is refused
    std::optional<refusal> displaced{}; ///< a queued ticket that gives up its place to the offered one
};

/// @brief Queued tickets whose wait ends now.
struct changes
{
    std::vector<core::request_id> started; ///< dispatch these requests now
    std::vector<refusal> refused;          ///< these requests do not run here
};

} // namespace poplarport::admission
