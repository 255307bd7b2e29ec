#include "poplarport/limits/errors.hpp"

#include <array> // array

namespace poplarport::limits
{

namespace
{

constexpr std::array<result::code_entry, 2> rows{{
    {1400, "rate_exceeded", "The tenant's rate of requests at this node is above its limit.",
     "The caller sends faster than the manifest allows; wait for the time in Retry-After."},
    {1401, "concurrency_exceeded", "The tenant has as many requests in flight at this node as its limit allows.",
     "Answers are slow or the caller opens many requests at once."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"limits", rows};
    return instance;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::limits
