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

/// @brief What the receiving node tells the sender with an answer, in header fields.
struct answer_metadata
{
    core::outcome result{core::outcome::unknown}; ///< poplar-outcome
    int code{0};                                  ///< poplar-code; a result code up to 9999, zero for success
    core::load_report load{};        ///< poplar-load; `slots,in flight,queued,service time in µs,draining,slowdown`
    core::version config_version{0}; ///< poplar-config-version; the newest that the receiver holds
    std::vector<core::node_id> better{}; ///< poplar-better; up to 8 ids, on refusal only

    bool operator==(const answer_metadata&) const = default;
};

/// @brief The metadata, or what is wrong with its fields.
using answer_metadata_result = std::variant<answer_metadata, metadata_error>;

/// @brief Writes the metadata, in place of fields of the same names.
/// @param[in]     metadata values within their bounds; ids have neither a comma nor a space
/// @param[in,out] fields   header fields of the answer
void encode(const answer_metadata& metadata, http::header_fields& fields);

/// @brief Reads the metadata; every field but poplar-better must be present once.
/// @param[in] fields header fields of an answer
/// @return the metadata, or errc::missing_field, repeated_field, malformed_field or field_out_of_range
[[nodiscard]] answer_metadata_result decode_answer_metadata(const http::header_fields& fields);

} // namespace poplarport::peer
