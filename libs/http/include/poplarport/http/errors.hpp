#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::http
{

/// @brief Result codes of the HTTP connections, 1000 to 1099.
enum class errc
{
    malformed_message = 1000,
    header_too_large = 1001,
    ambiguous_length = 1002,
    unsupported_version = 1003,
    unsupported_transfer_coding = 1004,
    invalid_host = 1005,
    incomplete_message = 1006,
    too_many_connections = 1007,
    timed_out = 1008,
    unexpected_bytes = 1009,
    framing_too_large = 1010,
    too_many_interim_responses = 1011
};

/// @return the error category of this library
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the error code of a result code
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// @return the HTTP status of the response to a request that is refused with this error
[[nodiscard]] int status_of(std::error_code error) noexcept;

} // namespace poplarport::http

template <>
struct std::is_error_code_enum<poplarport::http::errc> : std::true_type
{
};
