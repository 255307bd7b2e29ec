#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::settings
{

/// @brief Faults of a settings file.
enum class errc
{
    unreadable_file = 100, ///< the file cannot be read
    malformed_toml = 101,  ///< the file is not valid TOML
    unknown_key = 102,     ///< the key is not declared
    missing_key = 103,     ///< a required key is absent
    wrong_type = 104,      ///< the value has another type than declared
    out_of_range = 105,    ///< the number lies outside its bounds
    not_allowed = 106      ///< the text or list is not among the allowed values
};

/// @brief Returns the category of this library with its table of result codes.
[[nodiscard]] const result::table_category& category() noexcept;

/// @brief Makes the error code of a fault.
[[nodiscard]] std::error_code make_error_code(errc value) noexcept;

} // namespace poplarport::settings

template <>
struct std::is_error_code_enum<poplarport::settings::errc> : std::true_type
{
};
