#pragma once

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <vector>  // vector

#include "poplarport/core/time.hpp"

namespace poplarport::attempts
{

/// @brief Settings of a retry budget.
struct retry_budget_settings
{
    /// Retries per call. A ratio of 0.1 keeps the added load small when every call of a service fails.
    double ratio{0.1};
    /// Retries per window that are permitted regardless of the number of calls; without them, a service with few calls
    /// would never be retried. A fraction counts together with that of the ratio: the share of one of many nodes may be
    /// less than one retry.
    double minimum{3.0};
    /// Span over which calls and retries are counted.
    core::duration window{std::chrono::seconds{10}};
    /// Number of buckets that the window is divided into; counts expire one bucket at a time.
    std::size_t buckets{10};
};

/// @brief Limits the retries and hedges of one service to a ratio of its calls within a sliding window.
class retry_budget
{
  public:
    /// @param[in] settings limits; the window must be at least as many nanoseconds as there are buckets
    explicit retry_budget(retry_budget_settings settings = {});

    /// @brief Changes the number of retries per call and the minimum per window; the counts are kept.
    void set_limits(double ratio, double minimum) noexcept
    {
        this->limits.ratio = ratio;
        this->limits.minimum = minimum;
    }

    /// @brief Counts the first attempt of a call.
    void on_call(core::time_point now);

    /// @brief Takes one retry or hedge from the budget.
    /// @param[in] now      current time
    /// @param[in] fraction part of the budget that may be used up, from 0 to 1
    /// @return whether the budget permitted it
    [[nodiscard]] bool try_spend(core::time_point now, double fraction = 1.0);

    /// @return the number of retries and hedges that may start at `now`, of the given part of the budget
    [[nodiscard]] std::uint64_t available(core::time_point now, double fraction = 1.0);

    /// @return the number of retries and hedges that were refused
    [[nodiscard]] std::uint64_t refused() const noexcept
    {
        return this->refused_count;
    }

  private:
    struct bucket
    {
        std::uint64_t calls{0};
        std::uint64_t retries{0};
    };

    void advance(core::time_point now);
    [[nodiscard]] bucket& current() noexcept;

    retry_budget_settings limits;
    std::vector<bucket> buckets;
    std::int64_t current_index{0};
    bucket totals;
    std::uint64_t refused_count{0};
};

} // namespace poplarport::attempts
