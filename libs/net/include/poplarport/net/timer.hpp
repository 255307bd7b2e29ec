#pragma once

#include <functional> // function
#include <memory>     // shared_ptr

#include "poplarport/core/time.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::net
{

/// @brief A one-shot timer; schedule() in its hook repeats it. Destroying it cancels it.
class timer
{
  public:
    /// @param[in] loop      loop that runs the hook
    /// @param[in] on_expiry hook called when the timer expires
    timer(event_loop& loop, std::function<void()> on_expiry);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// @brief Sets or moves the expiry.
    /// @param[in] delay time from now; zero or less expires in the next iteration
    void schedule(core::duration delay);

    /// @brief Cancels the expiry, if one is set.
    void cancel() noexcept;

    /// @return whether an expiry is set
    [[nodiscard]] bool is_scheduled() const noexcept;

    struct state;

  private:
    std::shared_ptr<state> data;
};

} // namespace poplarport::net
