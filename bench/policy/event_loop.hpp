#pragma once

#include <cstdint>    // uint64_t
#include <functional> // function, greater
#include <queue>      // priority_queue
#include <utility>    // move
#include <vector>     // vector

#include "poplarport/core/time.hpp"

namespace poplarport::bench
{

/// @brief Runs actions in order of time on a simulated clock.
class event_loop
{
  public:
    /// @return the instant of the running action
    [[nodiscard]] core::time_point now() const noexcept
    {
        return this->current_time;
    }

    /// @brief Runs an action at an instant; actions with the same instant run in the order of their registration.
    void at(core::time_point instant, std::function<void()> action)
    {
        this->events.push({instant, this->next_sequence_number++, std::move(action)});
    }

    /// @brief Runs an action after a delay.
    void after(core::duration delay, std::function<void()> action)
    {
        this->at(this->current_time + delay, std::move(action));
    }

    /// @brief Runs all actions up to an instant.
    void run_until(core::time_point end)
    {
        while (!this->events.empty() && this->events.top().instant <= end)
        {
            event next = this->events.top();
            this->events.pop();
            this->current_time = next.instant;
            next.action();
        }
    }

  private:
    struct event
    {
        core::time_point instant;
        std::uint64_t sequence_number;
        std::function<void()> action;

        bool operator>(const event& other) const noexcept
        {
            return this->instant != other.instant ? this->instant > other.instant
                                                  : this->sequence_number > other.sequence_number;
        }
    };

    core::time_point current_time;
    std::uint64_t next_sequence_number{0};
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
};

} // namespace poplarport::bench
