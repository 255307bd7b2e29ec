#pragma once

#include <span>         // span
#include <system_error> // error_code

#include "poplarport/result/table_category.hpp"

namespace poplarport::node::detail
{

/// @return the categories of all libraries whose result codes a node may tell another one
[[nodiscard]] std::span<const result::table_category* const> known_categories() noexcept;

/// @brief Finds the error code of a number that another node sent.
/// @return the error code, or an empty one for a number that this version does not know
[[nodiscard]] std::error_code error_from_code(int number) noexcept;

} // namespace poplarport::node::detail
