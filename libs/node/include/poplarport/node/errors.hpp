#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::node
{

/// @brief Result codes of the node, 1300 to 1399.
enum class errc
{
    no_configuration = 1300,
    upstream_unreachable = 1301,
    upstream_connection_limit = 1302,
    upstream_shed = 1303,
    upstream_failed = 1304,
    upstream_timed_out = 1305,
    body_too_large = 1306,
    unknown_peer = 1307,
    service_not_served = 1308,
    caller_gone = 1309,
    malformed_deadline = 1310,
    upstream_not_accepting = 1311,
    foreign_answer = 1312,
    misdirected = 1313,
    upstream_slowed = 1314
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the error code of a result code of this library
[[nodiscard]] std::error_code make_error_code(errc value) noexcept;

} // namespace poplarport::node

template <>
struct std::is_error_code_enum<poplarport::node::errc> : std::true_type
{
};
