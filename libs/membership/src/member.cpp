#include "poplarport/membership/member.hpp"

#include <algorithm>   // max, ranges::sort
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
        if (!is_live(each))
        {
            continue;
        }
        append(text, each.id);
        append(text, std::to_string(each.incarnation));
        append(text, std::to_string(each.revision));
        append(text, std::to_string(static_cast<int>(each.state)));
        append(text, each.draining ? "d" : "-");
    }
    return XXH64(text.data(), text.size(), 0);
}

} // namespace poplarport::membership
