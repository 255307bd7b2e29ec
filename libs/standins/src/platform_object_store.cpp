#include "poplarport/standins/platform/object_store.hpp"

#include <utility> // move

namespace poplarport::standins
{

const platform_object* object_store::find(const std::string& key) const noexcept
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? nullptr : &found->second;
}

write_result object_store::put(const std::string& key, std::string value, write_condition condition,
                               core::time_point now)
{
    const platform_object* current = this->find(key);
    const core::version version = current == nullptr ? 0 : current->version;
    if (version != condition.expected_version)
    {
        return {false, version};
    }
    this->record(key, now);
    this->objects[key] = {this->latest_version, std::move(value)};
    return {true, this->latest_version};
}

write_result object_store::erase(const std::string& key, write_condition condition, core::time_point now)
{
    const platform_object* current = this->find(key);
    if (current == nullptr || current->version != condition.expected_version)
    {
        return {false, current == nullptr ? 0 : current->version};
    }
    this->record(key, now);
    this->objects.erase(key);
    return {true, this->latest_version};
}

void object_store::restore(core::time_point copied_at)
{
    while (!this->replaced.empty() && this->replaced.back().time > copied_at)
    {
        replaced_object& last = this->replaced.back();
        if (last.before)
        {
            this->objects[last.key] = std::move(*last.before);
        }
        else
        {
            this->objects.erase(last.key);
        }
        --this->latest_version;
        this->replaced.pop_back();
    }
}

void object_store::record(const std::string& key, core::time_point now)
{
    while (!this->replaced.empty() && now - this->replaced.front().time > copy_retention)
    {
        this->replaced.pop_front();
    }
    const platform_object* current = this->find(key);
    this->replaced.push_back({now, key, current == nullptr ? std::nullopt : std::optional{*current}});
    ++this->latest_version;
}

std::vector<listed_object> object_store::list(std::string_view prefix) const
{
    std::vector<listed_object> result;
    for (auto position = this->objects.lower_bound(prefix);
         position != this->objects.end() && position->first.starts_with(prefix); ++position)
    {
        result.push_back({position->first, position->second.version});
    }
    return result;
}

} // namespace poplarport::standins
