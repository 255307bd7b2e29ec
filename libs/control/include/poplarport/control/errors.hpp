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
    timed_out = 1101,          ///< no complete answer arrived in time
    answer_incomplete = 1102,  ///< the connection closed before the end of the answer
    answer_too_large = 1103,   ///< the answer exceeds the client's limit
    invalid_request = 1104,    ///< the request cannot be written as HTTP
    listen_failed = 1105,      ///< the server cannot listen on its address
    body_too_large = 1106,     ///< the body of a request exceeds the server's limit
    path_not_found = 1107,     ///< the server has no such path
    method_not_allowed = 1108, ///< the path does not accept the method
    no_answer = 1109,          ///< the handler of a request gave no answer
    length_missing = 1110      ///< the answer does not announce the length of its body
};

/// @brief Returns the category of this library with its table of result codes.
[[nodiscard]] const result::table_category& category() noexcept;

/// @brief Makes the error code of a fault.
[[nodiscard]] std::error_code make_error_code(errc value) noexcept;

} // namespace poplarport::control

template <>
struct std::is_error_code_enum<poplarport::control::errc> : std::true_type
{
};
