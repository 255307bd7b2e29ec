#include "poplarport/limits/errors.hpp"

#include <array> // array

namespace poplarport::limits
{

namespace
{

constexpr std::array<result::code_entry, 2> rows{{
    {1400, "rate_exceeded", "The tenant's request rate exceeds its limit.",
     "The tenant sends more requests than the manifest permits; wait for the time in Retry-After."},
    {1401, "concurrency_exceeded", "The tenant has as many requests in flight at this node as its limit permits.",
     "Responses are slow, or the tenant sends many requests concurrently."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"limits", rows};
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace poplarport::limits
