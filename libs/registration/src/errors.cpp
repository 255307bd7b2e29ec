#include "poplarport/registration/errors.hpp"

#include <array> // array

namespace poplarport::registration
{

namespace
{

constexpr std::array<result::code_entry, 5> rows{{
    {1600, "malformed", "A heartbeat of the upstream lacks a field or has a field of the wrong type.",
     "Another program sends requests to the registration address."},
    {1601, "other_service", "The heartbeat names another service than the node's settings.",
     "An upstream of another service now has this address, or the settings are wrong."},
    {1602, "other_address", "The heartbeat names another address than that of the local upstream.",
     "An upstream on another VM sends its heartbeats to this node, or the settings are wrong."},
    {1603, "outdated", "A newer heartbeat of the upstream instance has been received.",
     "The heartbeat was delayed in the network."},
    {1604, "superseded", "Another instance of the upstream is current.",
     "The message was delayed in the network, or the clock of the VM was set back before the upstream restarted. It is "
     "not acknowledged; if its sender is live, it sends the message again."},
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
