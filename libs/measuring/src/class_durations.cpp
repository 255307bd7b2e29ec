#include "poplarport/measuring/class_durations.hpp"

#include <chrono>  // seconds
#include <cstddef> // size_t

namespace poplarport::measuring
{

namespace
{

// Number of operations that an average covers.
constexpr int averaged_operations = 8;

// Limits memory, because callers may send arbitrary class names.
constexpr std::size_t max_classes = 1024;

// A class without operations for this long may no longer occur, and its average does not reflect the current speed of
// the server.
constexpr std::chrono::seconds max_age{10};

} // namespace

void class_durations::add(const std::string& class_name, core::duration sample, core::time_point now)
{
    const auto found = this->averages.find(class_name);
    if (found != this->averages.end())
    {
        found->second.duration += (sample - found->second.duration) / averaged_operations;
        found->second.updated_at = now;
        return;
    }
    if (this->averages.size() < max_classes)
    {
        this->averages.emplace(class_name, average{sample, now});
    }
}

core::duration class_durations::of(const std::string& class_name) const
{
    const auto found = this->averages.find(class_name);
    return found == this->averages.end() ? core::duration{0} : found->second.duration;
}

std::optional<core::duration> class_durations::max_average(core::time_point now) const
{
    std::optional<core::duration> max_duration;
    for (const auto& [name, each] : this->averages)
    {
        const bool is_longer = !max_duration || each.duration > *max_duration;
        if (is_longer && now - each.updated_at < max_age)
        {
            max_duration = each.duration;
        }
    }
    return max_duration;
}

} // namespace poplarport::measuring
