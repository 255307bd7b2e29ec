#pragma once

#include <cstdint> // uint8_t

#include "poplarport/membership/member.hpp"

namespace poplarport::membership
{

/// @brief What changed about a member.
enum class member_change : std::uint8_t
{
    joined,     ///< new, returned after it was dead or left, or restarted with a later incarnation
    updated,    ///< its data changed, for example `draining`
    configured, ///< only its configuration version changed, to a newer one
    suspected,  ///< did not respond to a probe
    recovered,  ///< refuted the suspicion
    failed,     ///< was declared dead
    left,       ///< announced that it leaves
    superseded, ///< about this process: a later incarnation of its id is alive at another address; it must stop
};

/// @brief A change in the list of members.
struct member_event
{
    member_change change{member_change::updated};
    membership::member member; ///< after the change

    bool operator==(const member_event&) const = default;
};

} // namespace poplarport::membership
