#pragma once

#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map

#include "poplarport/core/time.hpp"

namespace poplarport::measuring
{

/// @brief Moving averages of operation durations by class.
///
/// An average over all classes depends mostly on which classes occurred last. The average of the slowest class can be
/// compared between servers that run the same classes in different proportions.
class class_durations
{
  public:
    /// @brief Adds the duration of an operation; a new class is ignored once the maximum number of classes is held.
    void add(const std::string& class_name, core::duration sample, core::time_point now);

    /// @return the average of a class, zero for an unknown one
    [[nodiscard]] core::duration of(const std::string& class_name) const;

    /// @return the maximum average of the classes seen recently, or nothing if there are none
    [[nodiscard]] std::optional<core::duration> max_average(core::time_point now) const;

  private:
    struct average
    {
        core::duration duration{0};
        core::time_point updated_at;
    };

    std::unordered_map<std::string, average> averages{};
};

} // namespace poplarport::measuring
