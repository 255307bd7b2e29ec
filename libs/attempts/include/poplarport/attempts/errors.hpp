#pragma once

#include <system_error> // error_code, is_error_code_enum
#include <type_traits>  // true_type

#include "poplarport/result/table_category.hpp"

namespace poplarport::attempts
{

/// @brief Result codes of attempts and calls; their meanings are in the table behind `category()`.
enum class error : int
{
    refused_by_receiver = 500,
    refused_stream = 501,
    goaway_below_stream = 502,
    nothing_sent = 503,
    no_endpoint = 504,
    connection_lost = 505,
    timed_out = 506,
    cancelled_by_caller = 507,
    hedge_lost = 508,
    answer_interrupted = 509,
    reported_unknown = 510,
    protocol_violation = 511,
    deadline_passed = 520,
    budget_exhausted = 521,
    attempt_limit = 522,
    depth_limit = 523,
    body_not_replayable = 524,
    not_repeatable = 525,
    head_already_forwarded = 526
};

/// @return the category of this library's result codes
[[nodiscard]] const result::table_category& category() noexcept;

/// @return the `std::error_code` for a result code
[[nodiscard]] std::error_code make_error_code(error code) noexcept;

} // namespace poplarport::attempts

template <>
struct std::is_error_code_enum<poplarport::attempts::error> : std::true_type
{
};
