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

/// @brief What a node tells the receiving node about a call, in header fields.
struct call_metadata
{
    core::request_id request_id{};          ///< poplar-request-id; 1 to 128 visible ASCII characters
    std::chrono::microseconds time_left{0}; ///< poplar-time-left-us; up to one day
    std::chrono::microseconds sent_at{0};   ///< poplar-sent-at-us; the sender's monotonic clock
    std::uint32_t attempt{1};               ///< poplar-attempt; 1 to 1000, over all levels
    std::uint32_t depth{0};                 ///< poplar-depth; levels of calls above this one, up to 100
    std::string tenant{};                   ///< poplar-tenant; 1 to 128 visible ASCII characters
    std::string traffic_class{};            ///< poplar-class; 1 to 128 visible ASCII characters
    core::version config_version{0};        ///< poplar-config-version; the newest that the sender holds
    /// poplar-target-left-us; time until which an answer has its full worth, not sent when there is no target
    std::optional<std::chrono::microseconds> target_left{};

    bool operator==(const call_metadata&) const = default;
};

/// @brief The metadata, or what is wrong with its fields.
using call_metadata_result = std::variant<call_metadata, metadata_error>;

/// @brief Writes the metadata, in place of fields of the same names.
/// @param[in]     metadata values within their bounds
/// @param[in,out] fields   header fields of the call
void encode(const call_metadata& metadata, http::header_fields& fields);

/// @brief Reads the metadata; every field but poplar-target-left-us must be present once.
/// @param[in] fields header fields of a call
/// @return the metadata, or errc::missing_field, repeated_field, malformed_field or field_out_of_range
[[nodiscard]] call_metadata_result decode_call_metadata(const http::header_fields& fields);

} // namespace poplarport::peer
