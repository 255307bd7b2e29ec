#pragma once

#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map

#include "poplarport/core/time.hpp"

namespace poplarport::measuring
{

/// @brief Moving averages of how long operations take, by class.
///
/// An average over all classes depends mostly on which classes were met last. The average of the longest class can be
/// compared between servers that run the same classes in other proportions.
class class_durations
{
  public:
    /// @brief Adds the duration of an operation; a new class above the limit of classes is ignored.
    void add(const std::string& name, core::duration sample, core::time_point now);

    /// @return the average of a class, zero for an unknown one
    [[nodiscard]] core::duration of(const std::string& name) const;

    /// @return the average of the longest class of those that were met lately, or nothing
    [[nodiscard]] std::optional<core::duration> longest(core::time_point now) const;

  private:
    struct average
    {
        core::duration value{0};
        core::time_point added_at;
    };

    std::unordered_map<std::string, average> averages{};
};

} // namespace poplarport::measuring
