#pragma once

#include <map>    // multimap
#include <memory> // shared_ptr

#include "poplarport/core/time.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::net::detail
{

/// @brief The timers of one event loop, sorted by expiry and driven by one timer descriptor.
///
/// The poll loop of libwebsockets rounds its timeout down to whole milliseconds and busy-polls for the remainder, which
/// costs up to a millisecond of processor time for each timer. A timer descriptor wakes the loop at the exact time.
class timer_queue
{
  public:
    using entries = std::multimap<core::time_point, std::shared_ptr<timer::state>>;

    timer_queue();
    ~timer_queue();
    timer_queue(const timer_queue&) = delete;
    timer_queue& operator=(const timer_queue&) = delete;

    /// @return the timer descriptor, which becomes readable when a timer is due
    [[nodiscard]] int descriptor() const noexcept;

    /// @brief Adds an expiry, and arms the descriptor for it if it is the earliest.
    entries::iterator add(core::time_point expiry, std::shared_ptr<timer::state> timer_state);

    /// @brief Removes an expiry that has not run.
    void remove(entries::iterator position) noexcept;

    /// @brief Calls the hooks of all timers that are due.
    /// @return the delay of the earliest of them behind its expiry
    core::duration run_due(core::time_point now);

  private:
    void arm();

    int timer_descriptor;
    entries pending{};
    core::time_point armed_expiry{core::time_point::max()};
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
