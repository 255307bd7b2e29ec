#include "poplarport/standins/platform/object_store.hpp"

#include <utility> // move

namespace poplarport::standins
{

const platform_object* object_store::find(const std::string& key) const noexcept
{
    const auto found = this->objects.find(key);
    return found == this->objects.end() ? nullptr : &found->second;
}

write_result object_store::put(const std::string& key, std::string value, write_condition condition)
{
    const platform_object* current = this->find(key);
    const core::version version = current == nullptr ? 0 : current->version;
    if (version != condition.expected_version)
    {
        return {false, version};
    }
    ++this->latest_version;
    this->objects[key] = {this->latest_version, std::move(value)};
    return {true, this->latest_version};
}

write_result object_store::erase(const std::string& key, write_condition condition)
{
    const platform_object* current = this->find(key);
    if (current == nullptr || current->version != condition.expected_version)
    {
        return {false, current == nullptr ? 0 : current->version};
    }
    ++this->latest_version;
    this->objects.erase(key);
    return {true, this->latest_version};
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
