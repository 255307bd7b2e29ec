#pragma once

#include <variant> // variant
#include <vector>  // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/load_report.hpp"
#include "poplarport/core/outcome.hpp"
#include "poplarport/http/header_fields.hpp"
#include "poplarport/peer/metadata_error.hpp"

namespace poplarport::peer
{

/// @brief Metadata that the receiving node sends with a response, in header fields.
struct response_metadata
{
    core::outcome result{core::outcome::unknown}; ///< poplar-outcome
    int code{0};                                  ///< poplar-code; a result code up to 9999, zero for success
    core::load_report load{};        ///< poplar-load; `slots,in flight,queued,service time in µs,draining,slowdown`
    core::version config_version{0}; ///< poplar-config-version; the newest version that the receiver holds
    std::vector<core::node_id> better_peers{}; ///< poplar-better; up to 8 ids, only with a refusal

    bool operator==(const response_metadata&) const = default;
};

/// @brief The metadata, or the first error in its fields.
using response_metadata_result = std::variant<response_metadata, metadata_error>;

/// @brief Writes the metadata and replaces existing fields with the same names.
/// @param[in]     metadata values within their bounds; ids contain neither commas nor spaces
/// @param[in,out] fields   header fields of the response
void encode(const response_metadata& metadata, http::header_fields& fields);

/// @brief Reads the metadata; every field except poplar-better must occur exactly once.
/// @param[in] fields header fields of a response
/// @return the metadata, or errc::missing_field, repeated_field, malformed_field or field_out_of_range
[[nodiscard]] response_metadata_result decode_response_metadata(const http::header_fields& fields);

} // namespace poplarport::peer
