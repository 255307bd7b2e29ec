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

std::tuple<core::incarnation, std::uint32_t, member_state> rank(const member& value) noexcept
{
    return {value.incarnation, value.revision, value.state};
}

void append(std::string& text, std::string_view field)
{
    text += field;
    text += '\0';
}

} // namespace

bool is_live(const member& value) noexcept
{
    return value.state == member_state::alive || value.state == member_state::suspect;
}

bool merge(member& known, const member& news)
{
    assert(known.id == news.id);
    if (news.incarnation < known.incarnation)
    {
        return false;
    }
    if (news.incarnation > known.incarnation)
    {
        // A node that lost its memory learns from the others which upstream has left.
        auto deregistered_instance =
            news.deregistered_instance.empty() ? known.deregistered_instance : news.deregistered_instance;
        known = news;
        known.deregistered_instance = std::move(deregistered_instance);
        return true;
    }
    member result = rank(news) > rank(known) ? news : known;
    result.draining = known.draining || news.draining;
    result.configuration_version = std::max(known.configuration_version, news.configuration_version);
    if (result.deregistered_instance.empty())
    {
        result.deregistered_instance =
            known.deregistered_instance.empty() ? news.deregistered_instance : known.deregistered_instance;
    }
    const bool changed = result != known;
    known = std::move(result);
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
