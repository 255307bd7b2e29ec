#pragma once

#include <cstddef> // size_t
#include <map>     // map
#include <set>     // set
#include <utility> // pair
#include <vector>  // vector

#include "poplarport/core/ids.hpp"

namespace poplarport::membership::detail
{

/// @brief Members with a pending gossip update, and how often each update was sent.
class gossip_queue
{
  public:
    /// @brief Adds an update about a member and resets its transmission count.
    void add(const core::node_id& id);

    /// @brief Removes the update about a member that is no longer held.
    void remove(const core::node_id& id);

    /// @brief Counts a transmission of an update, which is dropped once it has been sent `limit` times.
    void on_sent(const core::node_id& id, std::size_t limit);

    /// @param[in] limit maximum number of members
    /// @return the members whose updates were sent least often, in ascending order of transmissions
    [[nodiscard]] std::vector<core::node_id> least_transmitted(std::size_t limit) const;

    /// @return whether no update is pending
    [[nodiscard]] bool empty() const noexcept
    {
        return this->transmission_counts.empty();
    }

  private:
    std::map<core::node_id, std::size_t> transmission_counts;
    std::set<std::pair<std::size_t, core::node_id>> by_transmissions; // the same updates in the order of sending
};

} // namespace poplarport::membership::detail
