#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::peer
{

/// @brief Result codes of the sessions between nodes, 1200 to 1299.
enum class errc
{
    protocol_error = 1200,
    connection_silent = 1201,
    stream_reset = 1202,
    stream_refused = 1203,
    going_away = 1204,
    link_backing_off = 1205,
    link_full = 1206,
    link_closed = 1207,
    call_cancelled = 1208,
    missing_field = 1209,
    malformed_field = 1210,
    repeated_field = 1211,
    field_out_of_range = 1212,
    wrong_length = 1213
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the error code of a result code of this library
[[nodiscard]] std::error_code make_error_code(errc value) noexcept;

} // namespace poplarport::peer

template <>
struct std::is_error_code_enum<poplarport::peer::errc> : std::true_type
{
};
