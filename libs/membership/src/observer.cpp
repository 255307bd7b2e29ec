#include "poplarport/membership/observer.hpp"

#include <algorithm> // min, ranges::shuffle
#include <tuple>     // pair
#include <utility>   // move

#include "poplarport/core/jitter.hpp"
#include "poplarport/membership/rendezvous.hpp"

namespace poplarport::membership
{

namespace
{

std::pair<core::incarnation, std::uint32_t> entry_version(const member& entry) noexcept
{
    return {entry.incarnation, entry.revision};
}

} // namespace

observer::observer(core::node_id self, const observer_settings& settings, core::time_point now, std::mt19937_64& random)
    : local_id(std::move(self)), limits(settings),
      next_selection(now + core::random_duration(settings.start_jitter, random))
{
}

void observer::set_seeds(std::vector<core::socket_address> addresses)
{
    this->seeds = std::move(addresses);
}

std::vector<list_pull> observer::tick(core::time_point now, std::mt19937_64& random)
{
    if (now >= this->next_selection)
    {
        this->select_sources(now, random);
        this->next_selection = now + core::jittered_interval(this->limits.backoff, random);
    }
    std::vector<list_pull> pulls;
    for (auto& [address, each] : this->sources)
    {
        if (!each.in_flight && now >= each.next_pull)
        {
            each.in_flight = true;
            pulls.push_back({address, each.hash});
        }
    }
    return pulls;
}

std::vector<member_event> observer::on_list(const core::socket_address& from, const list_response& response,
                                            core::time_point now, std::mt19937_64& random)
{
    const auto found = this->sources.find(from);
    if (found == this->sources.end())
    {
        return {};
    }
    source& each = found->second;
    each.in_flight = false;
    each.failures = 0;
    each.next_pull = now + core::jittered_interval(this->limits.interval, random);
    if (response.unchanged)
    {
        return {};
    }
    each.hash = response.hash;
    each.entries = response.entries;
    return this->refresh();
}

void observer::on_failed(const core::socket_address& from, core::time_point now, std::mt19937_64& random)
{
    const auto found = this->sources.find(from);
    if (found == this->sources.end())
    {
        return;
    }
    source& each = found->second;
    each.in_flight = false;
    constexpr std::size_t max_shift = 16;
    const auto shift = std::min(each.failures, max_shift);
    const auto delay = std::min(this->limits.backoff * (std::int64_t{1} << shift), this->limits.backoff_limit);
    each.next_pull = now + core::jittered_interval(delay, random);
    ++each.failures;
}

std::vector<member> observer::members() const
{
    std::vector<member> live;
    for (const auto& [id, each] : this->live_members)
    {
        live.push_back(each);
    }
    return live;
}

core::time_point observer::next_wakeup() const
{
    auto next = this->next_selection;
    for (const auto& [address, each] : this->sources)
    {
        if (!each.in_flight)
        {
            next = std::min(next, each.next_pull);
        }
    }
    return next;
}

void observer::select_sources(core::time_point now, std::mt19937_64& random)
{
    this->replace_failed_sources(now);
    for (const core::socket_address& address : this->candidates(random))
    {
        if (this->sources.size() >= this->limits.sources)
        {
            return;
        }
        const auto excluded = this->excluded_until.find(address);
        if (excluded == this->excluded_until.end() && !this->sources.contains(address))
        {
            this->sources[address].next_pull = now + core::random_duration(this->limits.backoff, random);
        }
    }
}

void observer::replace_failed_sources(core::time_point now)
{
    std::erase_if(this->excluded_until, [now](const auto& each) { return now >= each.second; });
    for (auto position = this->sources.begin(); position != this->sources.end();)
    {
        const source& each = position->second;
        if (each.failures < this->limits.failures_until_replaced || each.in_flight)
        {
            ++position;
            continue;
        }
        this->excluded_until[position->first] = now + this->limits.backoff_limit;
        position = this->sources.erase(position);
    }
}

std::vector<core::socket_address> observer::candidates(std::mt19937_64& random) const
{
    std::vector<core::socket_address> addresses;
    for (const member& each : rendezvous_order(this->local_id, this->members()))
    {
        addresses.push_back(each.peer_address);
    }
    auto shuffled = this->seeds;
    std::ranges::shuffle(shuffled, random);
    addresses.insert(addresses.end(), shuffled.begin(), shuffled.end());
    return addresses;
}

std::map<core::node_id, member> observer::merge_lists() const
{
    std::map<core::node_id, member> result;
    const auto merge_entry = [&result](const member& each)
    {
        const auto [position, is_new] = result.try_emplace(each.id, each);
        if (!is_new)
        {
            merge(position->second, each);
        }
    };
    // Reports of a death follow all other entries, so that they apply only if they are newer.
    for (const bool dead : {false, true})
    {
        for (const auto& [address, each] : this->sources)
        {
            for (const member_entry& entry : each.entries)
            {
                const auto current_entry = result.find(entry.member.id);
                const bool later =
                    current_entry == result.end() || entry_version(entry.member) > entry_version(current_entry->second);
                if ((entry.member.state == member_state::dead) == dead && (!dead || later))
                {
                    merge_entry(entry.member);
                }
            }
        }
    }
    std::erase_if(result, [](const auto& each) { return !is_live(each.second); });
    return result;
}

std::vector<member_event> observer::refresh()
{
    auto current = this->merge_lists();
    std::vector<member_event> events;
    for (const auto& [id, before] : this->live_members)
    {
        if (!current.contains(id))
        {
            events.push_back({member_change::failed, before});
        }
    }
    for (const auto& [id, after] : current)
    {
        const auto current_entry = this->live_members.find(id);
        if (current_entry == this->live_members.end() || current_entry->second.incarnation != after.incarnation)
        {
            events.push_back({member_change::joined, after});
        }
        else if (current_entry->second != after)
        {
            events.push_back({member_change::updated, after});
        }
    }
    this->live_members = std::move(current);
    return events;
}

} // namespace poplarport::membership
