#include "poplarport/membership/errors.hpp"

#include <array> // array

namespace poplarport::membership
{

namespace
{

constexpr std::array<result::code_entry, 5> rows{{
    {600, "other_service", "A membership message names another service.",
     "An address was taken over by a node of another service; the message is ignored."},
    {601, "other_target", "A membership message names another member as its target.",
     "An address was taken over by another node; the message is ignored."},
    {602, "superseded", "A later instance of the same node id is alive at another address.",
     "Two processes are configured with the same id, or this process was replaced; it must stop."},
    {603, "no_peer_reachable", "No seed of the service responds.",
     "The first members of the service are starting, or a network partition separates this node from its peers."},
    {604, "seeds_conflict", "The seeds object changed after it was read.",
     "Another member rewrote the object; it is read again later."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"membership", rows};
    return instance;
}

std::error_code make_error_code(error code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace poplarport::membership
