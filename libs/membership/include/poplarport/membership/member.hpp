#pragma once

#include <cstdint> // uint32_t, uint64_t
#include <string>  // string
#include <vector>  // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"

namespace poplarport::membership
{

/// @brief State of a member; of two entries with the same revision, the one with the higher state wins.
enum class member_state : std::uint8_t
{
    alive = 0,
    suspect = 1, ///< did not respond to a probe; declared dead unless it refutes in time
    dead = 2,    ///< did not refute the suspicion in time
    left = 3     ///< announced that it leaves
};

/// @brief One node of a service, as exchanged between members.
struct member
{
    core::node_id id;
    core::incarnation incarnation{0};
    /// Incremented by the member itself with each change or refutation; starts at zero per incarnation.
    std::uint32_t revision{0};
    std::string availability_zone;
    core::socket_address peer_address; ///< peer listener, TCP and UDP
    core::socket_address http_address; ///< caller listener
    member_state state{member_state::alive};
    bool draining{false};                   ///< accepts no new work; not reset within an incarnation
    core::version configuration_version{0}; ///< newest version that the member holds; changes without a new revision
    std::string service;      ///< service of the member's upstream in a group of several services, otherwise empty
    bool accepting{true};     ///< the member's upstream accepts new work; may change with each revision
    bool reaches_store{true}; ///< the member reaches the store and may watch it; may change with each revision
    /// Deregistered instance of the member's upstream, empty for none. Preserved across restarts of the node.
    std::string deregistered_instance;

    bool operator==(const member&) const = default;
};

/// @return whether a member is alive or suspect and thus part of the service
[[nodiscard]] bool is_live(const member& entry) noexcept;

/// @brief Merges an update about a member into its current entry.
///
/// A later incarnation replaces an earlier one. Within an incarnation, the later revision wins, then the higher state;
/// `draining` is never reset and the configuration version never decreases. The result is independent of the order in
/// which entries arrive, so members that received the same entries agree.
/// @param[in,out] current the current entry
/// @param[in]     update  an entry for the same id
/// @return whether `current` changed
bool merge(member& current, const member& update);

/// @return a hash of the live members of a list without their configuration versions, independent of their order
[[nodiscard]] std::uint64_t list_hash(std::vector<member> members);

/// Number of parts of a list that are compared on their own.
inline constexpr std::size_t list_parts = 32;

/// @return the part of a list to which a member belongs, below `list_parts`
[[nodiscard]] std::size_t list_part(const core::node_id& id);

/// @return the hash of each part of a list, made like `list_hash`; zero for a part without live members
[[nodiscard]] std::vector<std::uint32_t> part_hashes(std::vector<member> members);

} // namespace poplarport::membership
