#pragma once

#include <cstddef>  // size_t
#include <cstdint>  // uint32_t, uint64_t
#include <optional> // optional
#include <string>   // string

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::node
{

/// @brief What the entry node found out about a call before its first attempt.
struct call_description
{
    core::request_id id;
    std::string service;
    std::string tenant;
    std::string traffic_class;
    bool repeatable{false};
    core::time_point deadline;
    std::optional<core::time_point> target{}; ///< an answer after this instant is of little worth
    std::uint32_t depth{0};                   ///< calls above this one
    std::uint32_t attempt{1};                 ///< attempts on the path of this call, 1 for a first attempt
    std::uint64_t body_limit_bytes{0};        ///< greatest size of the request's body
    /// Bytes of an answer that are held until it is complete, so that a broken one can be replaced; 0 for none.
    std::size_t held_answer_bytes{0};
};

} // namespace poplarport::node
