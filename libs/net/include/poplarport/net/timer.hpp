#pragma once

#include <functional> // function
#include <memory>     // shared_ptr

#include "poplarport/core/time.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::net
{

/// @brief A one-shot timer, repeated by calling schedule() in its hook. Its destruction cancels it.
class timer
{
  public:
    /// @param[in] loop      event loop that runs the hook
    /// @param[in] on_expiry called when the timer expires
    timer(event_loop& loop, std::function<void()> on_expiry);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// @brief Schedules the expiry, replacing one that is scheduled already.
    /// @param[in] delay time from now; zero or less means the next iteration
    void schedule(core::duration delay);

    /// @brief Cancels the expiry, if one is scheduled.
    void cancel() noexcept;

    /// @return whether an expiry is scheduled
    [[nodiscard]] bool is_scheduled() const noexcept;

    struct state;

  private:
    std::shared_ptr<state> data;
};

} // namespace poplarport::net
