#pragma once

#include <chrono>  // duration_cast, nanoseconds
#include <cstdint> // uint32_t

#include "poplarport/core/time.hpp"

namespace poplarport::measuring
{

/// @brief Moving average of the duration of concurrent operations that includes unfinished operations.
///
/// The estimate is (time spent in operations) / (operations finished), both decayed per finished operation. An average
/// of finished operations alone reflects a slowdown only when the first slow operation ends; this estimate grows while
/// operations are late.
class duration_estimator
{
  public:
    /// @param[in] initial        estimate before the first operation
    /// @param[in] averaged_count number of finished operations that the average covers; at least 1
    /// @param[in] now            current time
    duration_estimator(core::duration initial, double averaged_count, core::time_point now) noexcept
        : averaged_operations(averaged_count), total_time(static_cast<double>(initial.count())), updated_at(now)
    {
    }

    void on_started(core::time_point now) noexcept
    {
        this->advance(now);
        ++this->running_operations;
    }

    /// @brief Counts an operation as finished.
    /// @param[in] now        current time
    /// @param[in] correction added to the measured duration of the operation
    void on_finished(core::time_point now, core::duration correction = core::duration::zero()) noexcept
    {
        this->on_abandoned(now);
        const double decay_factor = this->averaged_operations / (this->averaged_operations + 1.0);
        this->total_time = (this->total_time + static_cast<double>(correction.count())) * decay_factor;
        this->total_time = this->total_time > 0.0 ? this->total_time : 0.0;
        this->finished_operations = (this->finished_operations + 1.0) * decay_factor;
    }

    /// @brief Removes an operation that will not finish from the operations in progress; its time so far stays counted.
    void on_abandoned(core::time_point now) noexcept
    {
        this->advance(now);
        this->running_operations = this->running_operations > 0 ? this->running_operations - 1 : 0;
    }

    /// @brief Discards the measurements; operations in progress stay counted.
    /// @param[in] initial new initial estimate
    /// @param[in] now     current time
    void reset(core::duration initial, core::time_point now) noexcept
    {
        this->total_time = static_cast<double>(initial.count());
        this->finished_operations = 1.0;
        this->updated_at = now;
    }

    /// @return the estimated duration of one operation
    [[nodiscard]] core::duration estimate(core::time_point now) const noexcept
    {
        const double time_including_running =
            this->total_time + static_cast<double>(this->running_operations) * this->time_since_update(now);
        return core::duration{static_cast<core::duration::rep>(time_including_running / this->finished_operations)};
    }

    /// @return the number of operations that have started and not finished
    [[nodiscard]] std::uint32_t in_progress() const noexcept
    {
        return this->running_operations;
    }

  private:
    [[nodiscard]] double time_since_update(core::time_point now) const noexcept
    {
        return now > this->updated_at ? static_cast<double>((now - this->updated_at).count()) : 0.0;
    }

    void advance(core::time_point now) noexcept
    {
        this->total_time += static_cast<double>(this->running_operations) * this->time_since_update(now);
        this->updated_at = now > this->updated_at ? now : this->updated_at;
    }

    double averaged_operations;
    double total_time;               // nanoseconds, decayed
    double finished_operations{1.0}; // decayed; the initial estimate counts as one operation
    std::uint32_t running_operations{0};
    core::time_point updated_at;
};

} // namespace poplarport::measuring
