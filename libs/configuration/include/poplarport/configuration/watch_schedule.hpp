#pragma once

#include <chrono>      // milliseconds, seconds
#include <cstddef>     // size_t
#include <cstdint>     // uint8_t
#include <random>      // mt19937_64
#include <string_view> // string_view

#include "poplarport/core/time.hpp"

namespace poplarport::configuration
{

/// @brief Settings of a watch schedule.
struct watch_settings
{
    /// Whether the whole installation starts for the first time, so that no configuration may be stored yet.
    bool is_first_start{false};
    /// The first read on a first start happens at a random time within this span.
    core::duration first_read_spread{std::chrono::seconds{3}};
    /// Initial interval between two reads while no configuration is held; doubles up to the maximum.
    core::duration poll_interval{std::chrono::seconds{1}};
    core::duration max_poll_interval{std::chrono::seconds{4}};
    /// Time from the first live peer until the list of members is complete enough to rank the members.
    core::duration settle_time{std::chrono::milliseconds{1500}};
    /// Maximum time from the start until a node ranks the members that it knows, on a first and on any other start.
    core::duration max_first_settle_time{std::chrono::seconds{6}};
    core::duration max_settle_time{std::chrono::milliseconds{2500}};
    /// Time after which the leading watcher renews its watch, and so its connection. A watch on a connection that has
    /// become silent misses every change; the next one uses a new connection.
    core::duration renewal_interval{std::chrono::milliseconds{1500}};
    /// Time for which the other watchers wait for a change; the platform's maximum.
    core::duration max_watch_wait{std::chrono::seconds{30}};
    /// Delay of a watch after a change, so that a series of changes costs few calls.
    core::duration delay_after_change{std::chrono::milliseconds{250}};
    /// Delay until a change of the members' ranks is considered.
    core::duration rank_delay{std::chrono::milliseconds{100}};
    /// Time in which all members learn that a node is about to settle, so that nodes that settle together do not all
    /// watch.
    core::duration announcement_time{std::chrono::milliseconds{500}};
    /// Initial delay after a failed call; doubles up to the maximum.
    core::duration failure_delay{std::chrono::milliseconds{250}};
    core::duration max_failure_delay{std::chrono::seconds{1}};
    /// The read after the store has come back from an older copy happens at a random time within this span.
    core::duration restored_read_spread{std::chrono::milliseconds{200}};
};

/// @brief A store call that a node makes to learn the configuration.
enum class watch_step : std::uint8_t
{
    none,
    read_lagging, ///< read the configuration, which may be seconds old
    read_latest,  ///< read the current configuration
    watch         ///< wait for a change
};

/// @return the name of a step, for logs
[[nodiscard]] std::string_view to_string(watch_step step) noexcept;

/// @brief Decides when a node reads the configuration from the store and whether it watches it.
///
/// Only the first-ranked members watch; the others receive new versions from members. A starting node reads a copy that
/// may lag, because it learns of newer versions from the members that it joins, and does not rank the members before it
/// knows them: otherwise every node of an installation that starts would watch.
///
/// The owner performs the step that `tick` returns and reports its end by exactly one of `on_read`, `on_watched`,
/// `on_partly_watched`, `on_unusable_response`, `on_history_lost`, `on_no_response` and `on_failed`, unless `take_lead`
/// or `on_restored` has ended it.
class watch_schedule
{
  public:
    /// @param[in]     settings settings of the node
    /// @param[in]     now      start of the node
    /// @param[in,out] random   source of jitter
    watch_schedule(const watch_settings& settings, core::time_point now, std::mt19937_64& random);

    /// @param[in] has_rank          whether this node is one of the first-ranked members, which watch
    /// @param[in] has_configuration whether a configuration is held
    /// @param[in] now               current time
    /// @return the step that is due
    [[nodiscard]] watch_step tick(bool has_rank, bool has_configuration, core::time_point now);

    /// @brief Records that a read has ended with a result, which may contain no configuration.
    void on_read(core::time_point now, std::mt19937_64& random);

    /// @brief Records that a watch has ended.
    /// @param[in] has_changes whether it returned a change
    void on_watched(bool has_changes, core::time_point now);

    /// @brief Records that a watch has returned so many bytes that the store may have left out later changes. The next
    /// step reads the latest state: watching on would return one change after the other, each as old as the series.
    void on_partly_watched(core::time_point now);

    /// @brief Records that the response to a watch is larger than the limit or cannot be read. The next step is a read:
    /// a watch from the same revision would return at least the same again.
    void on_unusable_response(core::time_point now, std::mt19937_64& random);

    /// @brief Records that the store no longer has the history from which the watch was to continue.
    void on_history_lost(core::time_point now);

    /// @brief Records that the store has come back from an older copy. A watch in progress has ended, and its result
    /// must be discarded; the next step is a read.
    void on_restored(core::time_point now, std::mt19937_64& random);

    /// @brief Records that the store did not perform the step.
    void on_failed(core::time_point now, std::mt19937_64& random);

    /// @brief Records that a watch had no response. The next step is a read at once, which shows within its short time
    /// limit whether the store responds to this node.
    void on_no_response(core::time_point now);

    /// @brief Returns how long the next watch waits for a change.
    ///
    /// Only the leading watcher renews its watch often. If all connections to the store become silent, its next watch
    /// returns the change, and the others learn of it from the members.
    /// @param[in] position watchers that rank higher
    [[nodiscard]] core::duration watch_wait(std::size_t position);

    /// @brief Ends the watch in progress if this node has become the leading watcher since its start: it waits too
    /// long.
    /// @param[in] position watchers that rank higher
    /// @param[in] now      current time
    /// @return whether the watch has ended; its result must be discarded
    [[nodiscard]] bool take_lead(std::size_t position, core::time_point now);

    /// @brief Records that a member has joined, ended, or lost or regained the store.
    void on_members_changed(bool has_peers, core::time_point now);

    /// @return when `take_lead` and `tick` must be called next; the maximum if nothing is due before a step ends
    [[nodiscard]] core::time_point next_wakeup() const noexcept;

    /// @return the step that `tick` has returned and whose end has not been reported
    [[nodiscard]] watch_step step_in_progress() const noexcept
    {
        return this->in_progress;
    }

    /// @return from when other members may count on the watch of this node if it has the rank; before, it settles
    [[nodiscard]] core::time_point reliable_from() const noexcept
    {
        return this->settled_at - this->settings.announcement_time;
    }

  private:
    [[nodiscard]] bool is_settled(core::time_point now) const noexcept
    {
        return now >= this->settled_at;
    }

    watch_settings settings;
    core::time_point settled_at;
    core::time_point next_step;
    core::time_point next_rank_check{core::time_point::max()};
    core::duration poll_interval;
    core::duration failure_delay;
    bool is_idle{false};    ///< another member's change of rank is awaited
    bool is_polling{false}; ///< the next step is another read, after a read that may have found no configuration
    bool had_peers{false};
    bool has_revision{false};     ///< a read has returned the revision from which a watch continues
    bool is_leading_watch{false}; ///< the last watch waits as that of the leading watcher
    watch_step in_progress{watch_step::none};
};

} // namespace poplarport::configuration
