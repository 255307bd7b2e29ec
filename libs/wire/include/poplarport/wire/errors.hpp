#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::wire
{

/// @brief Result codes of the codec between nodes, 800 to 899.
enum class errc
{
    not_authentic = 800,
    malformed = 801,
    out_of_bounds = 802,
    unknown_kind = 803
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the `std::error_code` for a result code
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace poplarport::wire

template <>
struct std::is_error_code_enum<poplarport::wire::errc> : std::true_type
{
};
