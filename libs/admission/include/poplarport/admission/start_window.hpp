#pragma once

#include <cstddef>  // size_t
#include <deque>    // deque
#include <optional> // optional

#include "poplarport/core/time.hpp"

namespace poplarport::admission
{

/// @brief Limits how many requests start in any second, wherever the second begins.
///
/// Starts are recorded while there is no limit too, so that a limit which is set later counts those of the last second.
/// A token bucket would permit twice its capacity within a second.
class start_window
{
  public:
    /// @param[in] now time of construction. A process that ran before may have used the whole limit until then.
    explicit start_window(core::time_point now) : created_at(now)
    {
    }

    /// @brief Sets the limit.
    /// @param[in] per_second   starts in any second, rounded down and at least one; empty for no limit
    /// @param[in] first_second starts in the second after the construction, beside those of an earlier process
    void set_limit(std::optional<double> per_second, double first_second = 0.0);

    /// @return whether a request may start
    [[nodiscard]] bool may_start(core::time_point now) const
    {
        return this->wait_for(1.0, now) == core::duration::zero();
    }

    /// @brief Records that a request starts.
    void on_started(core::time_point now);

    /// @param[in] count number of requests, the one of interest included
    /// @param[in] now   current time
    /// @return the estimated time until that many requests may have started; zero without a limit
    [[nodiscard]] core::duration wait_for(double count, core::time_point now) const;

    /// @return the mean time between two starts at the limit; zero without a limit
    [[nodiscard]] core::duration interval() const noexcept;

  private:
    [[nodiscard]] bool may_start_in_first_second(std::size_t recent, std::size_t wanted) const noexcept
    {
        return recent + wanted <= this->first_second_limit;
    }

    core::time_point created_at;
    std::optional<std::size_t> limit{};
    std::size_t first_second_limit{0};
    std::deque<core::time_point> starts{}; ///< of the last second, oldest first; bounded in number
};

} // namespace poplarport::admission
