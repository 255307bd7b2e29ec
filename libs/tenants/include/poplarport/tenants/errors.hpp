#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::tenants
{

/// @brief Result codes for the keys of tenants, 1900 to 1999: why a request has no tenant.
enum class errc
{
    missing_key = 1900,   ///< the request has no key
    malformed_key = 1901, ///< the request has several keys, or an empty, too long or unprintable one
    unknown_key = 1902    ///< no tenant has the key
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the error code of a result code of this library
[[nodiscard]] std::error_code make_error_code(errc value) noexcept;

} // namespace poplarport::tenants

template <>
struct std::is_error_code_enum<poplarport::tenants::errc> : std::true_type
{
};
