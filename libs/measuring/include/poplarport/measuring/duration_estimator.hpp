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
    /// @param[in] initial estimate before the first operation
    /// @param[in] memory  number of finished operations that the average covers; at least 1
    /// @param[in] now     current time
    duration_estimator(core::duration initial, double memory, core::time_point now) noexcept
        : averaged_operations(memory), busy(static_cast<double>(initial.count())), updated(now)
    {
    }

    void on_started(core::time_point now) noexcept
    {
        this->advance(now);
        ++this->running;
    }

    /// @brief Counts an operation as finished.
    /// @param[in] now        current time
    /// @param[in] correction added to the measured duration of the operation
    void on_finished(core::time_point now, core::duration correction = core::duration::zero()) noexcept
    {
        this->on_abandoned(now);
        const double kept = this->averaged_operations / (this->averaged_operations + 1.0);
        this->busy = (this->busy + static_cast<double>(correction.count())) * kept;
        this->busy = this->busy > 0.0 ? this->busy : 0.0;
        this->finished = (this->finished + 1.0) * kept;
    }

    /// @brief Removes an operation that will not finish from the operations in progress; its time so far stays counted.
    void on_abandoned(core::time_point now) noexcept
    {
        this->advance(now);
        this->running = this->running > 0 ? this->running - 1 : 0;
    }

    /// @brief Discards the measurements; operations in progress stay counted.
    /// @param[in] value new initial estimate
    /// @param[in] now   current time
    void reset(core::duration value, core::time_point now) noexcept
    {
        this->busy = static_cast<double>(value.count());
        this->finished = 1.0;
        this->updated = now;
    }

    /// @return the estimated duration of one operation
    [[nodiscard]] core::duration estimate(core::time_point now) const noexcept
    {
        const double total = this->busy + static_cast<double>(this->running) * this->since_update(now);
        return core::duration{static_cast<core::duration::rep>(total / this->finished)};
    }

    /// @return the number of operations that have started and not finished
    [[nodiscard]] std::uint32_t in_progress() const noexcept
    {
        return this->running;
    }

  private:
    [[nodiscard]] double since_update(core::time_point now) const noexcept
    {
        return now > this->updated ? static_cast<double>((now - this->updated).count()) : 0.0;
    }

    void advance(core::time_point now) noexcept
    {
        this->busy += static_cast<double>(this->running) * this->since_update(now);
        this->updated = now > this->updated ? now : this->updated;
    }

    double averaged_operations;
    double busy;          // nanoseconds, decayed
    double finished{1.0}; // decayed; the initial estimate counts as one operation
    std::uint32_t running{0};
    core::time_point updated;
};

} // namespace poplarport::measuring
