#pragma once

#include <chrono>  // milliseconds, minutes, seconds
#include <cstddef> // size_t
#include <cstdint> // uint8_t
#include <random>  // mt19937_64

#include "poplarport/core/time.hpp"

namespace poplarport::membership
{

/// @brief Settings of a join schedule.
struct join_settings
{
    /// Whether the whole installation starts for the first time, so that no node is registered yet.
    bool is_first_start{false};
    /// Maximum time after the start at which a node without a peer registers itself, on a first start.
    core::duration max_first_delay{std::chrono::seconds{5}};
    /// Time in which the number of nodes that would register grows by the factor e, on a first start. A node sees
    /// earlier registrations with the delay of the store's cheap reads, so with n nodes about e^(delay / spread) of
    /// them register, whatever n is.
    core::duration first_spread{std::chrono::seconds{1}};
    /// The same two times on any other start, where other nodes are expected to be registered already.
    core::duration max_delay{std::chrono::milliseconds{500}};
    core::duration spread{std::chrono::milliseconds{150}};
    /// Initial interval between two reads of the list while no listed node responds; doubles up to the maximum. An
    /// unregistered node starts with the first one, a registered one, which others find, with the second.
    core::duration list_interval{std::chrono::milliseconds{400}};
    core::duration registered_list_interval{std::chrono::seconds{1}};
    core::duration max_list_interval{std::chrono::seconds{4}};
    /// Initial delay after a failed call; doubles up to the maximum.
    core::duration failure_delay{std::chrono::milliseconds{100}};
    /// Nodes must rejoin within two seconds after the store is reachable again.
    core::duration max_failure_delay{std::chrono::seconds{1}};
    /// Time from the first live peer, by when most members are known, to the first check of whether this node must be
    /// registered because of its rank among them, and the interval of later checks.
    core::duration settle_time{std::chrono::milliseconds{2500}};
    core::duration rank_check_interval{std::chrono::seconds{5}};
    /// Number of first-ranked members that keep themselves registered; a starting node needs one of them.
    std::size_t registered_members{6};
    /// Initial interval between two reads of the list by the first-ranked member of a group; doubles up to the maximum.
    core::duration group_list_interval{std::chrono::seconds{5}};
    core::duration max_group_list_interval{std::chrono::minutes{1}};
};

/// @brief A store call that a node makes to find its peers or to be found.
enum class join_step : std::uint8_t
{
    none,
    list,         ///< read the list of registered nodes
    register_self ///< add this node to the list
};

/// @brief Decides when a node reads the list of registered nodes and when it registers itself.
///
/// Only a few nodes of a group are registered, because each store call has a price and a group of hundreds would make
/// hundreds of them. A starting node reads the list and joins through any of its nodes. The first-ranked members of the
/// group keep themselves registered. Where the list is empty, each node waits for a random time before it registers
/// itself; few of these times are short, so most nodes find an earlier one in the list.
///
/// Nodes that start at the same time may form several groups that don't know of each other. The first-ranked member of
/// each group reads the list at growing intervals, so that it finds the members of the others.
///
/// The owner performs the step that `tick` returns and reports its end by exactly one of `on_listed`, `on_registered`
/// and `on_failed`.
class join_schedule
{
  public:
    /// @param[in]     settings settings, the same for all nodes of a group
    /// @param[in]     now      start of the node
    /// @param[in,out] random   source of the random delays
    join_schedule(const join_settings& settings, core::time_point now, std::mt19937_64& random);

    /// @param[in]     rank   number of members that rank before this node
    /// @param[in]     now    current time
    /// @param[in,out] random source of jitter
    /// @return the step that is due
    [[nodiscard]] join_step tick(std::size_t rank, core::time_point now, std::mt19937_64& random);

    /// @brief Records that the list has been read.
    /// @param[in] peers number of other nodes in the list
    void on_listed(std::size_t peers, core::time_point now, std::mt19937_64& random);

    /// @brief Records that this node is in the list, at the end of the step or because an earlier process registered
    /// it.
    void on_registered(core::time_point now, std::mt19937_64& random);

    /// @brief Records that the store did not perform the step.
    void on_failed(core::time_point now, std::mt19937_64& random);

    /// @brief Records the number of live members other than this node.
    void set_peers(std::size_t count, core::time_point now, std::mt19937_64& random);

    /// @return when `tick` must be called next; the maximum while a step is in progress
    [[nodiscard]] core::time_point next_wakeup() const noexcept;

    [[nodiscard]] bool is_registered() const noexcept
    {
        return this->registered;
    }

  private:
    [[nodiscard]] join_step tick_with_peers(std::size_t rank, core::time_point now, std::mt19937_64& random);
    [[nodiscard]] bool must_register(core::time_point now) const noexcept;
    void list_later(core::time_point now, std::mt19937_64& random);

    join_settings settings;
    core::time_point registration_due;
    core::time_point next_step;
    core::duration list_interval;
    core::duration group_list_interval;
    core::time_point next_group_list; ///< read of the list as the first-ranked member
    core::duration failure_delay;
    std::size_t peers{0};
    int unanswered_lists{0}; ///< lists read since the last live peer, whose nodes did not respond
    bool list_was_empty{false};
    bool has_joined{false}; ///< there has been a live peer since the start
    bool registered{false};
    join_step in_progress{join_step::none};
};

} // namespace poplarport::membership
