#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::mesh
{

/// @brief Why a mesh node answers a request itself, 1700 to 1799.
enum class errc
{
    no_configuration = 1700,        ///< no configuration is held yet
    no_route = 1701,                ///< no route matches host and path
    authority_mismatch = 1702,      ///< the target names another host than Host
    malformed_configuration = 1703, ///< a configuration cannot be read
    unreadable_request = 1705       ///< the fields that name and limit a request cannot be read
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the error code of a result code of this library
[[nodiscard]] std::error_code make_error_code(errc value) noexcept;

} // namespace poplarport::mesh

template <>
struct std::is_error_code_enum<poplarport::mesh::errc> : std::true_type
{
};
