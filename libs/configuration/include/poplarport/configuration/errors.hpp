#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::configuration
{

/// @brief Result codes of configuration; their meanings are in the table behind `category()`.
enum class error : int
{
    older_version = 700,
    same_version = 701,
    same_version_differs = 702,
    check_failed = 703,
    not_followed = 704,
    older_copy = 705,
    conflict = 710,
    undetermined = 711,
    platform_unavailable = 712,
    restored = 713
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the `std::error_code` for a result code
[[nodiscard]] std::error_code make_error_code(error code) noexcept;

} // namespace poplarport::configuration

template <>
struct std::is_error_code_enum<poplarport::configuration::error> : std::true_type
{
};
