#pragma once

#include <cstddef>  // size_t
#include <cstdint>  // uint32_t, uint64_t
#include <optional> // optional
#include <string>   // string

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::node
{

/// @brief Properties of a call that the entry node determines before the first attempt.
struct call_description
{
    core::request_id id;
    std::string service;
    std::string tenant; ///< name of the tenant; empty for a request without one
    std::string traffic_class;
    bool repeatable{false};
    core::time_point deadline;
    std::optional<core::time_point> target{}; ///< a response after this time has little value to the caller
    std::uint32_t depth{0};                   ///< number of calls above this one in the call chain
    std::uint32_t attempt{1};                 ///< attempts on the path of this call, 1 for a first attempt
    std::uint64_t body_limit_bytes{0};        ///< maximum size of the request body
    /// Whether the installation has tenants, so that keys and tenant names of callers are not passed on.
    bool has_tenants{false};
    /// Maximum size of a response that is buffered until it is complete, so that an incomplete one can be replaced by
    /// that of another attempt; 0 disables buffering.
    std::size_t max_buffered_response_bytes{0};
    /// The same while later requests on the caller's connection, or another attempt, are in progress: an incomplete
    /// response that was forwarded in part closes the connection, and none of them gets a response. The larger part
    /// comes out of a shared budget.
    std::size_t max_pipelined_response_bytes{0};
};

} // namespace poplarport::node
