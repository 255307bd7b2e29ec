#include "poplarport/tenants/directory.hpp"

#include <algorithm> // ranges::all_of, ranges::any_of
#include <cstring>   // memcpy
#include <set>       // set
#include <utility>   // move

#include "poplarport/tenants/errors.hpp"

namespace poplarport::tenants
{

namespace
{

// Names are values of header fields.
constexpr std::size_t max_name_bytes = 128;

std::uint64_t prefix_of(const digest& value) noexcept
{
    std::uint64_t result = 0;
    std::memcpy(&result, value.data(), sizeof result);
    return result;
}

bool is_printable(std::string_view text)
{
    return std::ranges::all_of(text, [](char character) { return character > ' ' && character < '\x7f'; });
}

} // namespace

directory::directory(std::vector<tenant> tenants) : entries(std::move(tenants))
{
    for (std::size_t index = 0; index < this->entries.size(); ++index)
    {
        this->by_name.emplace(this->entries[index].name, index);
        for (const auto& key : this->entries[index].keys)
        {
            this->by_digest.emplace(prefix_of(key), index);
        }
    }
}

identification directory::identify(const std::vector<std::string_view>& keys) const
{
    if (keys.empty())
    {
        return {errc::missing_key};
    }
    const auto& key = keys.front();
    if (keys.size() > 1 || key.empty() || key.size() > max_key_bytes || !is_printable(key))
    {
        return {errc::malformed_key};
    }
    const auto wanted = digest_of({}, key);
    const auto [first, last] = this->by_digest.equal_range(prefix_of(wanted));
    for (auto position = first; position != last; ++position)
    {
        const auto& candidate = this->entries[position->second];
        if (std::ranges::any_of(candidate.keys, [&wanted](const auto& held) { return is_equal(held, wanted); }))
        {
            return {{}, &candidate};
        }
    }
    return {errc::unknown_key};
}

const tenant* directory::find(std::string_view name) const
{
    const auto found = this->by_name.find(std::string{name});
    return found == this->by_name.end() ? nullptr : &this->entries[found->second];
}

std::string find_fault(const std::vector<tenant>& tenants)
{
    std::set<std::string_view> names;
    std::set<digest> keys;
    for (const auto& each : tenants)
    {
        if (each.name.empty() || each.name.size() > max_name_bytes || !is_printable(each.name))
        {
            return "a tenant's name is empty, too long or not printable";
        }
        if (!names.insert(each.name).second)
        {
            return "tenant '" + each.name + "' occurs twice";
        }
        for (const auto& key : each.keys)
        {
            if (!keys.insert(key).second)
            {
                return "a key of tenant '" + each.name + "' occurs twice";
            }
        }
    }
    return {};
}

} // namespace poplarport::tenants
