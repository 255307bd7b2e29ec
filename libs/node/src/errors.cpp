#include "poplarport/node/errors.hpp"

#include <array> // array

namespace poplarport::node
{

namespace
{

constexpr std::array<result::code_entry, 15> rows{{
    {1300, "no_configuration", "The node has no configuration of the service yet.",
     "The manifest was not applied, or neither the platform nor a peer can be reached."},
    {1301, "upstream_unreachable", "The upstream does not accept connections; nothing was sent.",
     "The upstream's process is not running or is still starting."},
    {1302, "upstream_connection_limit", "The upstream's connection limit is reached; nothing was sent.",
     "Connections are in use by unfinished requests; raise connection_limit or look for slow responses."},
    {1303, "upstream_shed", "The upstream refused the request before it ran.",
     "The upstream is shedding load or draining."},
    {1304, "upstream_failed", "The upstream's connection broke after the request was sent.",
     "The upstream's process was killed or restarted; it is unknown whether the request ran."},
    {1305, "upstream_timed_out", "The upstream did not respond before the deadline.",
     "The upstream is overloaded or frozen; it is unknown whether the request ran."},
    {1306, "body_too_large", "The request's body is larger than the limit of the service.",
     "Send a smaller body, or raise body_limit_bytes in the manifest."},
    {1307, "unknown_peer", "The peer did not send the key of this cluster.",
     "The nodes have different cluster secrets, or a caller connected to the peer port."},
    {1308, "service_not_served", "The node that received the call serves another service.",
     "The sender's list of members is out of date."},
    {1309, "caller_gone", "The caller closed its connection before the response was complete.",
     "The caller cancelled the request or was stopped."},
    {1310, "malformed_deadline", "Poplar-Deadline-Ms is not a whole number of milliseconds above zero.",
     "Correct or omit the field."},
    {1311, "upstream_not_accepting", "The upstream accepts no new work; nothing was sent.",
     "The upstream is draining, has deregistered, or has not registered yet."},
    {1312, "foreign_answer", "The upstream's response belongs to another request or to none.",
     "The upstream sent an extra or late response; it is unknown whether the request ran."},
    {1313, "misdirected", "Another upstream responded at this address; it did not run the request.",
     "The upstream stopped and its address was assigned to another one."},
    {1314, "upstream_slowed", "The upstream's VM is currently slow and a faster one is available; nothing was sent.",
     "Other VMs on the same host use its processor time; the sender tries the faster upstream."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"node", rows};
    return instance;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::node
