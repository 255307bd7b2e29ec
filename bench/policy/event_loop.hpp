#pragma once

#include <cstdint>    // uint64_t
#include <functional> // function, greater
#include <queue>      // priority_queue
#include <utility>    // move
#include <vector>     // vector

#include "poplarport/core/time.hpp"

namespace poplarport::bench
{

/// @brief Runs actions in the order of their instants on a clock of its own.
class event_loop
{
  public:
    /// @return the instant of the running action
    [[nodiscard]] core::time_point now() const noexcept
    {
        return this->current;
    }

    /// @brief Runs an action at an instant; actions of one instant run in the order of their registration.
    void at(core::time_point instant, std::function<void()> action)
    {
        this->events.push({instant, this->next_number++, std::move(action)});
    }

    /// @brief Runs an action after a span.
    void after(core::duration span, std::function<void()> action)
    {
        this->at(this->current + span, std::move(action));
    }

    /// @brief Runs all actions up to an instant.
    void run_until(core::time_point end)
    {
        while (!this->events.empty() && this->events.top().instant <= end)
        {
            event next = this->events.top();
            this->events.pop();
            this->current = next.instant;
            next.action();
        }
    }

  private:
    struct event
    {
        core::time_point instant;
        std::uint64_t number;
        std::function<void()> action;

        bool operator>(const event& other) const noexcept
        {
            return this->instant != other.instant ? this->instant > other.instant : this->number > other.number;
        }
    };

    core::time_point current;
    std::uint64_t next_number{0};
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
};

} // namespace poplarport::bench
