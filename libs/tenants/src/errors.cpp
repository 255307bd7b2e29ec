#include "poplarport/tenants/errors.hpp"

#include <array> // array

namespace poplarport::tenants
{

namespace
{

constexpr std::array<result::code_entry, 3> rows{{
    {1900, "missing_key", "The request has no key, and its route is not public.",
     "The caller is not configured with a key, or a nested call uses a route that is not public."},
    {1901, "malformed_key", "The request has several keys, or one that is empty, too long or not printable.",
     "The caller's configuration is damaged."},
    {1902, "unknown_key", "No tenant has the request's key.",
     "The key was taken away, or belongs to another platform."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"tenants", rows};
    return instance;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::tenants
