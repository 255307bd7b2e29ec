#include "poplarport/measuring/class_durations.hpp"

#include <chrono>  // seconds
#include <cstddef> // size_t

namespace poplarport::measuring
{

namespace
{

// Operations that an average covers.
constexpr int memory = 8;

// Bounds the memory where callers can make up classes.
constexpr std::size_t max_classes = 1024;

// A class that was not met for this long may have ended, and says nothing of the server's present speed.
constexpr std::chrono::seconds lifetime{10};

} // namespace

void class_durations::add(const std::string& name, core::duration sample, core::time_point now)
{
    const auto found = this->averages.find(name);
    if (found != this->averages.end())
    {
        found->second.value += (sample - found->second.value) / memory;
        found->second.added_at = now;
        return;
    }
    if (this->averages.size() < max_classes)
    {
        this->averages.emplace(name, average{sample, now});
    }
}

core::duration class_durations::of(const std::string& name) const
{
    const auto found = this->averages.find(name);
    return found == this->averages.end() ? core::duration{0} : found->second.value;
}

std::optional<core::duration> class_durations::longest(core::time_point now) const
{
    std::optional<core::duration> result;
    for (const auto& [name, each] : this->averages)
    {
        const bool is_longer = !result || each.value > *result;
        if (is_longer && now - each.added_at < lifetime)
        {
            result = each.value;
        }
    }
    return result;
}

} // namespace poplarport::measuring
