#include "poplarport/peer/errors.hpp"

#include <array> // array

namespace poplarport::peer
{

namespace
{

constexpr std::array<result::code_entry, 14> rows{{
    {1200, "protocol_error", "The other side did not follow HTTP/2 or the limits announced to it.",
     "Another program or a node of an incompatible version uses this port."},
    {1201, "connection_silent", "No byte arrived on the connection, not even the response to a PING.",
     "The network drops the connection's packets, or the process on the other side is paused."},
    {1202, "stream_reset", "The other side reset the stream before the message was complete.",
     "The receiving node cancelled the call, or its upstream closed the connection during a response."},
    {1203, "stream_refused", "The other side refused the stream before anything ran.",
     "The receiving node is at its limit of streams, or is stopping."},
    {1204, "going_away", "The other side is stopping and accepts no new calls on this connection.",
     "The receiving node is draining; a later call uses another endpoint or a new connection."},
    {1205, "link_backing_off", "The last connection failed and the delay before the next one has not passed yet.",
     "The receiving node is down or unreachable."},
    {1206, "link_full", "The limit on calls in progress on one link has been reached.",
     "The receiving node responds too slowly; raise the limit only if that is expected."},
    {1207, "link_closed", "The link was closed by its owner.", "The node stops, or removed the endpoint."},
    {1208, "call_cancelled", "The calling node cancelled the call.",
     "The caller closed its connection, the deadline passed, or another hedged attempt succeeded first."},
    {1209, "missing_field", "A metadata field is missing.", "The other side runs an incompatible version."},
    {1210, "malformed_field", "A metadata field does not have its documented form.",
     "The other side runs an incompatible version, or another program sends to this port."},
    {1211, "repeated_field", "A metadata field occurs more than once.",
     "A field of the caller was forwarded without removing the metadata names from it."},
    {1212, "field_out_of_range", "A metadata field exceeds its maximum length or is out of range.",
     "The other side runs an incompatible version, or its settings exceed the documented bounds."},
    {1213, "wrong_length", "The request's body does not have the length stated in its header section.",
     "The caller sent fewer or more bytes than its Content-Length."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"peer", rows};
    return instance;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::peer
