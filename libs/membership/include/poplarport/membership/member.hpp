#pragma once

#include <cstdint> // uint32_t, uint64_t
#include <string>  // string
#include <vector>  // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"

namespace poplarport::membership
{

/// @brief State of a member; of two entries with the same revision the one with the greater state holds.
enum class member_state : std::uint8_t
{
    alive = 0,
    suspect = 1, ///< did not answer a probe; removed unless it refutes in time
    dead = 2,    ///< did not refute the suspicion in time
    left = 3     ///< announced its end itself
};

/// @brief One node of a service as the members see it.
struct member
{
    core::node_id id;
    core::incarnation incarnation{0};
    std::uint32_t revision{
        0}; ///< raised by the member itself with each change or refutation, from zero per incarnation
    std::string availability_zone;
    core::socket_address peer_address; ///< peer listener, TCP and UDP
    core::socket_address http_address; ///< caller listener
    member_state state{member_state::alive};
    bool draining{false};                   ///< takes no new work; never undone within an incarnation
    core::version configuration_version{0}; ///< newest that the member holds; changes without a new revision
    std::string service;      ///< service of the member's upstream, in a group of several services; else empty
    bool accepting{true};     ///< the member's upstream takes new work; may change with each revision
    bool reaches_store{true}; ///< the store answers the member; may change with each revision
    /// Start of the member's upstream that has announced its departure; empty for none. Kept over restarts of the node.
    std::string departed;

    bool operator==(const member&) const = default;
};

/// @return whether a member counts as part of the service, that is, is alive or suspect
[[nodiscard]] bool is_live(const member& value) noexcept;

/// @brief Merges news about a member into what is known of it.
///
/// A later incarnation replaces an earlier one. Within an incarnation the later revision holds, then the greater
/// state; draining is never undone and the configuration version never decreases. The result does not depend on the
/// order in which entries arrive, so members that saw the same entries agree.
/// @param[in,out] known what is known
/// @param[in]     news  an entry for the same id
/// @return whether `known` changed
bool merge(member& known, const member& news);

/// @return a hash of the live members of a list without their configuration versions, the same for any order
[[nodiscard]] std::uint64_t list_hash(std::vector<member> members);

} // namespace poplarport::membership
