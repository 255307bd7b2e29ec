#include "poplarport/registration/errors.hpp"

#include <array> // array

namespace poplarport::registration
{

namespace
{

constexpr std::array<result::code_entry, 4> rows{{
    {1600, "malformed", "The upstream's announcement lacks fields or has fields of another type.",
     "Another program writes to the registration address."},
    {1601, "other_service", "The announcement names another service than the node's settings.",
     "An upstream of another service has the address of the former one, or the settings are wrong."},
    {1602, "other_address", "The announcement names another address than that of the local upstream.",
     "An upstream on another VM announces itself here, or the settings are wrong."},
    {1603, "outdated", "A newer announcement of the upstream, or a newer start of it, is known.",
     "The announcement was delayed in the network."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"registration", rows};
    return instance;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::registration
