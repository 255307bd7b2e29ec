#pragma once

#include <chrono>   // microseconds
#include <cstdint>  // uint32_t
#include <optional> // optional
#include <string>   // string
#include <variant>  // variant

#include "poplarport/core/ids.hpp"
#include "poplarport/http/header_fields.hpp"
#include "poplarport/peer/metadata_error.hpp"

namespace poplarport::peer
{

/// @brief Metadata of a call that a node sends to the receiving node, in header fields.
struct call_metadata
{
    core::request_id request_id{};          ///< poplar-request-id; 1 to 128 visible ASCII characters
    std::chrono::microseconds time_left{0}; ///< poplar-time-left-us; up to one day
    std::chrono::microseconds sent_at{0};   ///< poplar-sent-at-us; the sender's monotonic clock
    std::uint32_t attempt{1};               ///< poplar-attempt; 1 to 1000, counted over all levels of the call chain
    std::uint32_t depth{0};          ///< poplar-depth; number of calls above this one in the call chain, up to 100
    std::string tenant{};            ///< poplar-tenant; 1 to 128 visible ASCII characters
    std::string traffic_class{};     ///< poplar-class; 1 to 128 visible ASCII characters
    core::version config_version{0}; ///< poplar-config-version; the newest version that the sender holds
    /// poplar-target-left-us; remaining time in which a response has its full value to the caller; not sent when there
    /// is no target
    std::optional<std::chrono::microseconds> target_left{};

    bool operator==(const call_metadata&) const = default;
};

/// @brief The metadata, or the first error in its fields.
using call_metadata_result = std::variant<call_metadata, metadata_error>;

/// @brief Writes the metadata and replaces existing fields with the same names.
/// @param[in]     metadata values within their bounds
/// @param[in,out] fields   header fields of the call
void encode(const call_metadata& metadata, http::header_fields& fields);

/// @brief Reads the metadata; every field except poplar-target-left-us must occur exactly once.
/// @param[in] fields header fields of a call
/// @return the metadata, or errc::missing_field, repeated_field, malformed_field or field_out_of_range
[[nodiscard]] call_metadata_result decode_call_metadata(const http::header_fields& fields);

} // namespace poplarport::peer
