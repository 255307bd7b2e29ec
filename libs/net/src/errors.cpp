#include "poplarport/net/errors.hpp"

#include <array> // array

namespace poplarport::net
{

namespace
{

constexpr std::array<result::code_entry, 7> rows{{
    {900, "invalid_address", "The text is not an IP number with a port.",
     "A host name was given; use an IPv4 or IPv6 number."},
    {901, "listen_failed", "The address cannot be listened on.",
     "Another process uses the port, or the address does not belong to this VM."},
    {902, "connect_failed", "The connection was refused or the address cannot be reached.",
     "No process listens at the address."},
    {903, "connect_timed_out", "The connection was not established within its time limit.",
     "The VM is down, or the network drops the packets."},
    {904, "connection_closed", "The remote side closed the connection.",
     "The remote process stopped or reset the connection."},
    {905, "loop_setup_failed", "The event loop cannot be set up.", "The limit on open descriptors is too low."},
    {906, "connection_reset", "The connection ended without an orderly close.",
     "The remote process was killed, or the network reset the connection."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"net", rows};
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace poplarport::net
