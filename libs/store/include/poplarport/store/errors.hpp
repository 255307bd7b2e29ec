#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::store
{

/// @brief Result codes of the object store, 1500 to 1599: why a call failed.
enum class errc
{
    refused = 1500,         ///< the store did not execute the call, for example above its rate limit
    unavailable = 1501,     ///< the store could not be reached; nothing was done
    outcome_unknown = 1502, ///< no usable response; a write may have been applied or may still be applied
    conflict = 1503,        ///< the object has another revision or exists already
    not_found = 1504,       ///< the object does not exist
    history_lost = 1505,    ///< the store no longer keeps the changes since the revision; list again
    malformed = 1506,       ///< the response cannot be parsed
    timed_out = 1507,       ///< no response in time; a write may have been applied or may still be applied
    restored = 1508         ///< the store came back from an older copy; the position or the response is from before
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
