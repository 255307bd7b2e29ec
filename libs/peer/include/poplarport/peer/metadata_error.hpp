#pragma once

#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/http/header_fields.hpp"

namespace poplarport::peer
{

/// @brief The first fault found in metadata fields.
struct metadata_error
{
    std::error_code code{};   ///< errc::missing_field, repeated_field, malformed_field or field_out_of_range
    std::string_view field{}; ///< name of the field; a constant
};

/// @brief Removes all metadata fields, so that those of a caller or an upstream are not taken for a node's.
/// @param[in,out] fields header fields of a message from outside
void remove_metadata(http::header_fields& fields);

} // namespace poplarport::peer
