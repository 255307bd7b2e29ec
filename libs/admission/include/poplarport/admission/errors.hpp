#pragma once

#include <system_error> // error_code, is_error_code_enum

#include "poplarport/result/table_category.hpp"

namespace poplarport::admission
{

/// @brief Reasons why the gate refuses a ticket; each proves that the request did not run.
enum class errors
{
    queue_full = 400,
    tenant_over_share = 401,
    deadline_unreachable = 402,
    deadline_passed = 403,
    draining = 404,
    better_peer = 405,
    duplicate_request = 406
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the `std::error_code` for a result code
[[nodiscard]] std::error_code make_error_code(errors code) noexcept;

} // namespace poplarport::admission

template <>
struct std::is_error_code_enum<poplarport::admission::errors> : std::true_type
{
};
