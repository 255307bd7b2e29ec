#pragma once

#include <algorithm>  // min
#include <chrono>     // milliseconds, seconds
#include <cstddef>    // size_t
#include <functional> // less
#include <set>        // set
#include <string>     // string

#include "poplarport/core/time.hpp"
#include "poplarport/evacuation/zone_state.hpp"

namespace poplarport::evacuation
{

/// @brief How a node passes the state on to others.
struct spread_settings
{
    std::size_t copies{3}; ///< members that get each round
    int rounds{6};         ///< rounds after a change, or after the start
    core::duration round_interval{std::chrono::milliseconds{100}};
    core::duration idle_interval{std::chrono::seconds{1}}; ///< between two copies to one member afterwards
    /// Time for which a zone stays evacuated that a store which came back from an older copy lacks. The operator writes
    /// it again meanwhile.
    core::duration retention{std::chrono::seconds{2}};
};

/// @brief Result of a state that a peer sent.
struct received_state
{
    bool has_changed{false};    ///< the evacuated zones of this node have changed
    bool needs_response{false}; ///< the peer's state is older than the one held
};

/// @brief One node's copy of the evacuated zones, and when it is sent to other nodes.
///
/// The state with the higher revision replaces the other as a whole. A change is passed on in several rounds to random
/// members, so that it reaches n nodes in a time that grows with log n and costs each a bounded number of messages.
/// Afterwards one member a time is told, and a node with an older state gets a response: both cover lost messages
/// and restarts. A state that has never changed is not sent at all.
///
/// When the store has come back from an older copy, the evacuations written since then are missing in its next state.
/// Each node retains them for a time, on its own: what is sent to others is always the store's state.
class replica
{
  public:
    /// @param[in] settings how the state is passed on
    /// @param[in] is_first_start whether no node of the installation can hold a state yet. Otherwise this one asks.
    replica(const spread_settings& settings, bool is_first_start) noexcept;

    /// @brief Records what the store holds.
    /// @return whether the evacuated zones of this node have changed
    bool on_stored(const zone_state& stored, core::time_point now);

    /// @brief Records what another node holds.
    received_state on_received(const zone_state& received, core::time_point now);

    /// @brief Records that the first other member has been found, which a restarted node asks.
    void on_peers_found(core::time_point now) noexcept;

    /// @brief Ends the retention of zones whose time is over.
    /// @return whether the evacuated zones of this node have changed
    bool end_retention(core::time_point now);

    /// @return the number of random members to which the state must be sent now
    [[nodiscard]] std::size_t due_copies(core::time_point now);

    /// @return when `due_copies` or `end_retention` must be called next; the maximum if nothing is due
    [[nodiscard]] core::time_point next_wakeup() const noexcept
    {
        return std::min(this->next_round, this->retained_until);
    }

    /// @return the newest state of the store that is known, which is sent to other nodes
    [[nodiscard]] const zone_state& state() const noexcept
    {
        return this->held;
    }

    /// @return the zones that this node must not send to
    [[nodiscard]] const zone_state& in_force() const noexcept
    {
        return this->applied;
    }

  private:
    bool replace(const zone_state& newer, core::time_point now);
    bool apply();
    void start_rounds(core::time_point now) noexcept;

    spread_settings settings;
    bool may_hold_nothing; ///< no node of the installation can hold a state yet
    zone_state held{};
    zone_state applied{}; ///< the state held, and the retained zones
    std::set<std::string, std::less<>> retained{};
    core::time_point retained_until{core::time_point::max()};
    int rounds_left{0};
    core::time_point next_round{core::time_point::max()};
};

} // namespace poplarport::evacuation
