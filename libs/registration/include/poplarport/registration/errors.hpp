#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::registration
{

/// @brief Reasons why a heartbeat or deregistration of an upstream is rejected, 1600 to 1699.
enum class errc
{
    malformed = 1600,     ///< fields are missing or of the wrong type
    other_service = 1601, ///< the upstream belongs to another service
    other_address = 1602, ///< the upstream is not the one beside this node
    outdated = 1603,      ///< a newer heartbeat of the upstream instance has been received
    superseded = 1604     ///< another instance of the upstream is current
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the `std::error_code` for a result code
[[nodiscard]] std::error_code make_error_code(errc value) noexcept;

} // namespace poplarport::registration

template <>
struct std::is_error_code_enum<poplarport::registration::errc> : std::true_type
{
};
