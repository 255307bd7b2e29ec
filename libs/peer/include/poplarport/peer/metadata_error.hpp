#pragma once

#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/http/header_fields.hpp"

namespace poplarport::peer
{

/// @brief The first error found in metadata fields.
struct metadata_error
{
    std::error_code code{};   ///< errc::missing_field, repeated_field, malformed_field or field_out_of_range
    std::string_view field{}; ///< name of the field; refers to a constant
};

/// @brief Removes all metadata fields, so that fields sent by a caller or an upstream are not mistaken for those of a
/// node.
/// @param[in,out] fields header fields of a message from a caller or an upstream
void remove_metadata(http::header_fields& fields);

} // namespace poplarport::peer
