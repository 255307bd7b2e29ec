#pragma once

#include <cstddef> // size_t
#include <map>     // map
#include <vector>  // vector

#include "poplarport/core/ids.hpp"

namespace poplarport::membership::detail
{

/// @brief Members about which there is news, with the number of times each was sent.
class gossip_queue
{
  public:
    /// @brief Adds news about a member and starts its count again.
    void add(const core::node_id& id);

    /// @brief Removes a member that is forgotten.
    void remove(const core::node_id& id);

    /// @brief Counts a transmission; the news is dropped when it reached the limit.
    void on_sent(const core::node_id& id, std::size_t limit);

    /// @return the members with news, those sent least often first
    [[nodiscard]] std::vector<core::node_id> in_order() const;

    /// @return whether there is no news
    [[nodiscard]] bool empty() const noexcept
    {
        return this->sent.empty();
    }

  private:
    std::map<core::node_id, std::size_t> sent;
};

} // namespace poplarport::membership::detail
