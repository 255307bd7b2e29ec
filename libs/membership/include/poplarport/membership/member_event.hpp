#pragma once

#include <cstdint> // uint8_t

#include "poplarport/membership/member.hpp"

namespace poplarport::membership
{

/// @brief What changed about a member.
enum class member_change : std::uint8_t
{
    joined,     ///< new, or back after its end, or started again with a later incarnation
    updated,    ///< its data changed, for example draining
    configured, ///< it holds a newer version of the configuration, and nothing else changed
    suspected,  ///< did not answer a probe
    recovered,  ///< refuted the suspicion
    failed,     ///< is dead
    left,       ///< announced its end
    superseded, ///< about this process: a later start of its id is alive at another address; it must stop
};

/// @brief A change in the list of members.
struct member_event
{
    member_change change{member_change::updated};
    membership::member member; ///< after the change

    bool operator==(const member_event&) const = default;
};

} // namespace poplarport::membership
