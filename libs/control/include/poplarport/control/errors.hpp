#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::control
{

/// @brief Result codes of the buffered HTTP client and server, 1100 to 1199.
enum class errc
{
    connect_failed = 1100,     ///< no connection was established
    timed_out = 1101,          ///< no complete response was received in time
    answer_incomplete = 1102,  ///< the connection closed before the end of the response
    answer_too_large = 1103,   ///< the response exceeds the limit of the client
    invalid_request = 1104,    ///< the request cannot be expressed in HTTP
    listen_failed = 1105,      ///< the server cannot listen on its address
    body_too_large = 1106,     ///< the request body exceeds the limit of the server
    path_not_found = 1107,     ///< the server has no route for the path
    method_not_allowed = 1108, ///< the path does not accept the method
    no_answer = 1109,          ///< the handler of the request sent no response
    length_missing = 1110      ///< the response does not state the length of its body
};

/// @return the error category of this library
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the error code of a result code
[[nodiscard]] std::error_code make_error_code(errc value) noexcept;

} // namespace poplarport::control

template <>
struct std::is_error_code_enum<poplarport::control::errc> : std::true_type
{
};
