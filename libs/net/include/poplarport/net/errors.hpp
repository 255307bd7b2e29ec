#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::net
{

/// @brief Result codes of the event loop and its sockets, 900 to 999.
enum class errc
{
    invalid_address = 900,
    listen_failed = 901,
    connect_failed = 902,
    connect_timed_out = 903,
    connection_closed = 904,
    loop_setup_failed = 905,
    connection_reset = 906
};

/// @return the error category of this library
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the error code of a result code
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace poplarport::net

template <>
struct std::is_error_code_enum<poplarport::net::errc> : std::true_type
{
};
