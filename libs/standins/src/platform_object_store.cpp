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
    const platform_object* present = this->find(key);
    const core::version version = present == nullptr ? 0 : present->version;
    if (version != condition.expected)
    {
        return {false, version};
    }
    ++this->latest;
    this->objects[key] = {this->latest, std::move(value)};
    return {true, this->latest};
}

write_result object_store::erase(const std::string& key, write_condition condition)
{
    const platform_object* present = this->find(key);
    if (present == nullptr || present->version != condition.expected)
    {
        return {false, present == nullptr ? 0 : present->version};
    }
    ++this->latest;
    this->objects.erase(key);
    return {true, this->latest};
}

std::vector<listed_object> object_store::list(std::string_view prefix) const
{
    std::vector<listed_object> result;
    for (auto at = this->objects.lower_bound(prefix); at != this->objects.end() && at->first.starts_with(prefix); ++at)
    {
        result.push_back({at->first, at->second.version});
    }
    return result;
}

} // namespace poplarport::standins
