#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::mesh
{

/// @brief Result codes of a mesh node, 1700 to 1799: why it responds to a request itself.
enum class errc
{
    no_configuration = 1700,        ///< the node has received no configuration yet
    no_route = 1701,                ///< no route matches the request's host and path
    authority_mismatch = 1702,      ///< the request target and the Host field name different hosts
    malformed_configuration = 1703, ///< the configuration cannot be parsed
    unreadable_request = 1705,      ///< the request's id is missing, or its id or time limit is malformed
    malformed_cold_time = 1706,     ///< a response to a status check states a cold time that cannot be read
    malformed_evacuation = 1707     ///< an evacuation names a zone without nodes, or its name is not that of a zone
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
