#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::membership
{

/// @brief Result codes of membership; their meanings are in the table behind `category()`.
enum class error : int
{
    other_service = 600,
    other_target = 601,
    superseded = 602,
    no_peer_reachable = 603,
    seeds_conflict = 604
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the `std::error_code` for a result code
[[nodiscard]] std::error_code make_error_code(error code) noexcept;

} // namespace poplarport::membership

template <>
struct std::is_error_code_enum<poplarport::membership::error> : std::true_type
{
};
