#pragma once

#include <system_error> // error_code, is_error_code_enum

#include "poplarport/result/table_category.hpp"

namespace poplarport::routing
{

/// @brief Reasons why the router has no endpoint for a request.
enum class errors
{
    no_endpoint_known = 300,
    all_endpoints_tried = 301,
    all_endpoints_draining = 302
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the `std::error_code` for a result code
[[nodiscard]] std::error_code make_error_code(errors reason) noexcept;

} // namespace poplarport::routing

template <>
struct std::is_error_code_enum<poplarport::routing::errors> : std::true_type
{
};
