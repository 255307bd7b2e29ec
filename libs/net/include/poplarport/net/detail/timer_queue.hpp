#pragma once

#include <map>    // multimap
#include <memory> // shared_ptr

#include "poplarport/core/time.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::net::detail
{

/// @brief Timers of one loop behind one timer descriptor.
///
/// libwebsockets' poll loop rounds its wait down to whole milliseconds and polls without waiting for the rest, which
/// costs up to a millisecond of processor time for each timer; a timer descriptor wakes the loop exactly.
class timer_queue
{
  public:
    using entries = std::multimap<core::time_point, std::shared_ptr<timer::state>>;

    timer_queue();
    ~timer_queue();
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;

    /// @return the descriptor that becomes readable when a timer is due
    [[nodiscard]] int descriptor() const noexcept;

    /// @brief Adds an expiry and sets the descriptor when it is the earliest one.
    entries::iterator add(core::time_point expiry, std::shared_ptr<timer::state> owner);

    /// @brief Removes an expiry.
    void remove(entries::iterator position) noexcept;

    /// @brief Runs the hooks of all timers that are due.
    /// @return by how much the earliest of them is late
    core::duration run_due(core::time_point now);

  private:
    void arm();

    int timer_descriptor;
    entries pending{};
    core::time_point armed_for{core::time_point::max()};
};

} // namespace poplarport::net::detail

namespace poplarport::net
{

/// @brief State of a timer, kept alive while its hook runs.
struct timer::state
{
    event_loop* loop;
    std::function<void()> on_expiry;
    detail::timer_queue::entries::iterator position{};
    bool scheduled{false};
};

} // namespace poplarport::net
