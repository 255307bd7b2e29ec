#pragma once

#include <cstddef>  // size_t
#include <optional> // optional

#include "poplarport/core/time.hpp"

namespace poplarport::admission
{

/// @brief Limits how many requests start per second.
///
/// A token bucket that holds one second of the rate, and at least one request. After a time without a limit
/// it holds one request.
class start_rate
{
  public:
    /// @brief Sets the limit.
    /// @param[in] per_second requests per second, not negative; empty for no limit. A rate near zero is raised to one
    ///                       request every two seconds, because only a response shows that the limit has ended.
    /// @param[in] now        current time
    void set(std::optional<double> per_second, core::time_point now);

    /// @return whether a request may start
    [[nodiscard]] bool may_start(core::time_point now) const
    {
        return this->wait_for(1, now) == core::duration::zero();
    }

    /// @brief Records that a request starts.
    void on_started(core::time_point now);

    /// @param[in] count number of requests, the one of interest included
    /// @param[in] now   current time
    /// @return the time until that many requests may have started; zero without a limit
    [[nodiscard]] core::duration wait_for(double count, core::time_point now) const;

    /// @return the time between two requests at the limit; zero without a limit
    [[nodiscard]] core::duration interval() const noexcept
    {
        return this->start_interval;
    }

  private:
    [[nodiscard]] core::time_point refilled_since(core::time_point now) const;

    core::duration start_interval{0};
    core::time_point empty_until{}; ///< the bucket holds what the rate permits between this time and now
};

} // namespace poplarport::admission
