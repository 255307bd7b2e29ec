#include "poplarport/membership/member.hpp"

#include <algorithm>   // max, ranges::sort, ranges::transform
#include <cassert>     // assert
#include <string_view> // string_view
#include <tuple>       // tuple

#include <xxhash.h> // XXH64

namespace poplarport::membership
{

namespace
{

std::tuple<core::incarnation, std::uint32_t, member_state> rank(const member& entry) noexcept
{
    return {entry.incarnation, entry.revision, entry.state};
}

void append(std::string& text, std::string_view field)
{
    text += field;
    text += '\0';
}

void append_live(std::string& text, const member& entry)
{
    if (!is_live(entry))
    {
        return;
    }
    append(text, entry.id);
    append(text, std::to_string(entry.incarnation));
    append(text, std::to_string(entry.revision));
    append(text, std::to_string(static_cast<int>(entry.state)));
    append(text, entry.draining ? "d" : "-");
}

} // namespace

bool is_live(const member& entry) noexcept
{
    return entry.state == member_state::alive || entry.state == member_state::suspect;
}

bool merge(member& current, const member& update)
{
    assert(current.id == update.id);
    if (update.incarnation < current.incarnation)
    {
        return false;
    }
    if (update.incarnation > current.incarnation)
    {
        // A restarted node receives the deregistered instance back from its peers.
        auto deregistered_instance =
            update.deregistered_instance.empty() ? current.deregistered_instance : update.deregistered_instance;
        current = update;
        current.deregistered_instance = std::move(deregistered_instance);
        return true;
    }
    member result = rank(update) > rank(current) ? update : current;
    result.draining = current.draining || update.draining;
    result.configuration_version = std::max(current.configuration_version, update.configuration_version);
    if (result.deregistered_instance.empty())
    {
        result.deregistered_instance =
            current.deregistered_instance.empty() ? update.deregistered_instance : current.deregistered_instance;
    }
    const bool changed = result != current;
    current = std::move(result);
    return changed;
}

std::uint64_t list_hash(std::vector<member> members)
{
    std::ranges::sort(members, {}, &member::id);
    std::string text;
    for (const member& each : members)
    {
        append_live(text, each);
    }
    return XXH64(text.data(), text.size(), 0);
}

std::size_t list_part(const core::node_id& id)
{
    return XXH64(id.data(), id.size(), 0) % list_parts;
}

std::vector<std::uint32_t> part_hashes(std::vector<member> members)
{
    std::ranges::sort(members, {}, &member::id);
    std::vector<std::string> texts(list_parts);
    for (const member& each : members)
    {
        append_live(texts[list_part(each.id)], each);
    }
    std::vector<std::uint32_t> hashes(list_parts);
    std::ranges::transform(texts, hashes.begin(),
                           [](const std::string& text) {
                               return text.empty() ? 0 : static_cast<std::uint32_t>(XXH64(text.data(), text.size(), 0));
                           });
    return hashes;
}

} // namespace poplarport::membership
