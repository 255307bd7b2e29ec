#include "poplarport/routing/errors.hpp"

#include <array> // array

namespace poplarport::routing
{

namespace
{

constexpr std::array<result::code_entry, 3> rows{{
    {300, "no_endpoint_known", "The service has no known endpoint.",
     "No node of the service has joined yet, or all of them have left."},
    {301, "all_endpoints_tried", "Every endpoint of the service was tried for this request.",
     "All endpoints refused or failed; the service is overloaded or unreachable."},
    {302, "all_endpoints_draining", "Every endpoint of the service that was not tried is draining.",
     "The whole service is being stopped, or more endpoints are being stopped than replaced."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"routing", rows};
    return instance;
}

std::error_code make_error_code(errors reason) noexcept
{
    return {static_cast<int>(reason), category()};
}

} // namespace poplarport::routing
