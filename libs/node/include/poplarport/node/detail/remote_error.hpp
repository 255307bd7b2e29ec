#pragma once

#include <span>         // span
#include <system_error> // error_code

#include "poplarport/result/table_category.hpp"

namespace poplarport::node::detail
{

/// @return the categories of all libraries whose result codes a node may send to another node
[[nodiscard]] std::span<const result::table_category* const> known_categories() noexcept;

/// @brief Converts a numeric result code from another node to an error code.
/// @return the error code, or an empty one when this version does not define the number
[[nodiscard]] std::error_code error_from_code(int number) noexcept;

} // namespace poplarport::node::detail
