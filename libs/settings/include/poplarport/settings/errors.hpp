#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::settings
{

/// @brief Result codes of faults in settings files.
enum class errc
{
    unreadable_file = 100, ///< the file cannot be read
    malformed_toml = 101,  ///< the file is not valid TOML
    unknown_key = 102,     ///< no read declares the key
    missing_key = 103,     ///< a required key is absent
    wrong_type = 104,      ///< the value does not have the declared type
    out_of_range = 105,    ///< the number is out of bounds
    not_allowed = 106      ///< the string or list is not an allowed value
};

/// @return the error category of this library
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the error code of a result code
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace poplarport::settings

template <>
struct std::is_error_code_enum<poplarport::settings::errc> : std::true_type
{
};
