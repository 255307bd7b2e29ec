#include "poplarport/membership/observer.hpp"

#include <algorithm> // min, ranges::shuffle
#include <tuple>     // pair
#include <utility>   // move

#include "poplarport/membership/jitter.hpp"
#include "poplarport/membership/rendezvous.hpp"

namespace poplarport::membership
{

namespace
{

std::pair<core::incarnation, std::uint32_t> age_rank(const member& value) noexcept
{
    return {value.incarnation, value.revision};
}

} // namespace

observer::observer(core::node_id self, const observer_settings& settings, core::time_point now, std::mt19937_64& random)
    : local_id(std::move(self)), limits(settings), next_choice(now + up_to(settings.start_jitter, random))
{
}

void observer::set_seeds(std::vector<core::socket_address> addresses)
{
    this->seeds = std::move(addresses);
}

std::vector<list_pull> observer::tick(core::time_point now, std::mt19937_64& random)
{
    if (now >= this->next_choice)
    {
        this->choose_sources(now, random);
        this->next_choice = now + jittered_interval(this->limits.backoff, random);
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

std::vector<member_event> observer::on_list(const core::socket_address& from, const list_response& answer,
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
    each.next_pull = now + jittered_interval(this->limits.interval, random);
    if (answer.unchanged)
    {
        return {};
    }
    each.hash = answer.hash;
    each.entries = answer.entries;
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
    constexpr std::size_t highest_shift = 16;
    const auto shift = std::min(each.failures, highest_shift);
    const auto wait = std::min(this->limits.backoff * (std::int64_t{1} << shift), this->limits.backoff_limit);
    each.next_pull = now + jittered_interval(wait, random);
    ++each.failures;
}

std::vector<member> observer::members() const
{
    std::vector<member> live;
    for (const auto& [id, each] : this->view)
    {
        live.push_back(each);
    }
    return live;
}

core::time_point observer::next_wakeup() const
{
    auto next = this->next_choice;
    for (const auto& [address, each] : this->sources)
    {
        if (!each.in_flight)
        {
            next = std::min(next, each.next_pull);
        }
    }
    return next;
}

void observer::choose_sources(core::time_point now, std::mt19937_64& random)
{
    this->replace_failed_sources(now);
    for (const core::socket_address& address : this->candidates(random))
    {
        if (this->sources.size() >= this->limits.sources)
        {
            return;
        }
        const auto avoided = this->avoided_until.find(address);
        if (avoided == this->avoided_until.end() && !this->sources.contains(address))
        {
            this->sources[address].next_pull = now + up_to(this->limits.backoff, random);
        }
    }
}

void observer::replace_failed_sources(core::time_point now)
{
    std::erase_if(this->avoided_until, [now](const auto& each) { return now >= each.second; });
    for (auto position = this->sources.begin(); position != this->sources.end();)
    {
        const source& each = position->second;
        if (each.failures < this->limits.failures_until_replaced || each.in_flight)
        {
            ++position;
            continue;
        }
        this->avoided_until[position->first] = now + this->limits.backoff_limit;
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

std::map<core::node_id, member> observer::merged() const
{
    std::map<core::node_id, member> result;
    const auto fold = [&result](const member& each)
    {
        const auto [place, is_new] = result.try_emplace(each.id, each);
        if (!is_new)
        {
            merge(place->second, each);
        }
    };
    for (const bool dead : {false, true})
    {
        for (const auto& [address, each] : this->sources)
        {
            for (const member_entry& entry : each.entries)
            {
                const auto known = result.find(entry.member.id);
                const bool later = known == result.end() || age_rank(entry.member) > age_rank(known->second);
                if ((entry.member.state == member_state::dead) == dead && (!dead || later))
                {
                    fold(entry.member);
                }
            }
        }
    }
    std::erase_if(result, [](const auto& each) { return !is_live(each.second); });
    return result;
}

std::vector<member_event> observer::refresh()
{
    auto fresh = this->merged();
    std::vector<member_event> events;
    for (const auto& [id, before] : this->view)
    {
        if (!fresh.contains(id))
        {
            events.push_back({member_change::failed, before});
        }
    }
    for (const auto& [id, after] : fresh)
    {
        const auto known = this->view.find(id);
        if (known == this->view.end() || known->second.incarnation != after.incarnation)
        {
            events.push_back({member_change::joined, after});
        }
        else if (known->second != after)
        {
            events.push_back({member_change::updated, after});
        }
    }
    this->view = std::move(fresh);
    return events;
}

} // namespace poplarport::membership
