#include "poplarport/mesh/errors.hpp"

#include <array> // array

namespace poplarport::mesh
{

namespace
{

constexpr std::array<result::code_entry, 7> rows{{
    {1700, "no_configuration", "The node holds no configuration yet.",
     "The node has just started, and neither the store nor a peer has responded."},
    {1701, "no_route", "No route matches the request's host and path.",
     "The route was removed, or the caller's address is wrong."},
    {1702, "authority_mismatch", "The request target and the Host field name different hosts.",
     "The caller is faulty, or tries to reach another route than the one that its proxies see."},
    {1703, "malformed_configuration", "A version of the configuration cannot be read; the previous one stays active.",
     "The object was written by another program, or was truncated."},
    {1705, "unreadable_request", "The header fields of the request's id or time limit cannot be read.",
     "The caller sends no valid request id, or a malformed time limit."},
    {1706, "malformed_cold_time", "A response to a status check states a cold time that cannot be read.",
     "The upstream sends a negative number or text; its last readable statement holds."},
    {1707, "malformed_evacuation", "An evacuation does not name a zone of the installation.",
     "The operator mistyped the zone, or another program wrote the object; the other evacuations hold."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"mesh", rows};
    return instance;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::mesh
