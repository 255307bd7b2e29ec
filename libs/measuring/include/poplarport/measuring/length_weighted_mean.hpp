#pragma once

#include <optional> // optional

#include "poplarport/core/time.hpp"

namespace poplarport::measuring
{

/// @brief Moving average of durations in which each one counts in proportion to its length.
///
/// It tells how long an operation takes that is met in progress. Where short and long operations are mixed, it depends
/// much less than a plain average on which of them came last, so that it can be compared between upstreams.
class length_weighted_mean
{
  public:
    /// @param[in] memory number of durations of the average length that the average covers; at least 1
    explicit length_weighted_mean(double memory) noexcept : covered(memory)
    {
    }

    /// @brief Adds a duration.
    void add(core::duration sample) noexcept;

    /// @return the average, or nothing before the first duration
    [[nodiscard]] std::optional<core::duration> value() const noexcept
    {
        return this->average;
    }

  private:
    double covered;
    std::optional<core::duration> average{};
};

} // namespace poplarport::measuring
