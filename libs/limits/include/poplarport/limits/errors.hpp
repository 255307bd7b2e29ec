#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::limits
{

/// @brief Reasons why the entry node refuses a tenant's request; each proves that the request did not run.
enum class errc
{
    rate_exceeded = 1400,
    concurrency_exceeded = 1401
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the `std::error_code` for a result code
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

} // namespace poplarport::limits

template <>
struct std::is_error_code_enum<poplarport::limits::errc> : std::true_type
{
};
