#pragma once

#include <cstdint>     // uint64_t
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/membership/member.hpp"

namespace poplarport::membership
{

/// @return the rendezvous weight of a member for a key; the member with the highest weight is ranked first
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, const core::node_id& id) noexcept;

/// @brief Sorts members by their rendezvous weight for a key, first-ranked first.
[[nodiscard]] std::vector<member> rendezvous_order(std::string_view key, std::vector<member> members);

} // namespace poplarport::membership
