#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::store
{

/// @brief How a call to the object store failed, 1500 to 1599.
enum class errc
{
    refused = 1500,         ///< the store did nothing, for example above its rate
    unavailable = 1501,     ///< the store was not reached; nothing was done
    outcome_unknown = 1502, ///< no usable answer; a write may have been done, or may still be done
    conflict = 1503,        ///< the object has another revision, or exists already
    not_found = 1504,       ///< there is no such object
    history_lost = 1505,    ///< changes since the revision are no longer known; list again
    malformed = 1506        ///< the answer cannot be read
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the error code of a result code of this library
[[nodiscard]] std::error_code make_error_code(errc value) noexcept;

} // namespace poplarport::store

template <>
struct std::is_error_code_enum<poplarport::store::errc> : std::true_type
{
};
