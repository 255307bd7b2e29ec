#include "poplarport/membership/seed_duty.hpp"

#include <algorithm> // max, min, ranges::any_of, ranges::count_if, ranges::find
#include <utility>   // move

#include "poplarport/core/jitter.hpp"
#include "poplarport/membership/rendezvous.hpp"

namespace poplarport::membership
{

namespace
{

std::size_t live_seeds(const std::vector<seed>& seeds, const std::vector<member>& live)
{
    const auto is_live_seed = [&live](const seed& each)
    {
        const auto is_same_node = [&each](const member& candidate)
        {
            return candidate.id == each.id && candidate.peer_address == each.peer_address;
        };
        return std::ranges::any_of(live, is_same_node);
    };
    return static_cast<std::size_t>(std::ranges::count_if(seeds, is_live_seed));
}

} // namespace

seed_duty::seed_duty(std::string service, core::node_id self, const seed_duty_settings& settings, core::time_point now,
                     std::mt19937_64& random)
    : key("seeds/" + std::move(service)), local_id(std::move(self)), limits(settings), read_interval(settings.interval),
      next_read(now + core::random_duration(settings.interval, random))
{
}

bool seed_duty::on_duty(const std::vector<member>& members) const
{
    const auto ranked = this->candidates(members);
    return !ranked.empty() && ranked.front().id == this->local_id;
}

std::optional<seed_action> seed_duty::tick(const std::vector<member>& members, core::time_point now,
                                           std::mt19937_64& random)
{
    if (now < this->next_read)
    {
        return std::nullopt;
    }
    this->next_read = now + core::jittered_interval(this->read_interval, random);
    this->earliest_read = now + this->limits.early_wait;
    return this->on_duty(members) ? std::optional<seed_action>{read_seeds{}} : std::nullopt;
}

std::optional<seed_action> seed_duty::on_read(const std::optional<seeds_document>& document, core::version version,
                                              const std::vector<member>& members, wall_time wall_now)
{
    const seeds_document old = document.value_or(seeds_document{});
    this->last_seeds = old.seeds;
    if (!this->on_duty(members))
    {
        return std::nullopt;
    }
    const auto ranked = this->candidates(members);
    // The lease exists to avoid duplicate work; that of a holder that is no longer live is ignored.
    const bool holder_is_live = std::ranges::find(ranked, old.lease_holder, &member::id) != ranked.end();
    if (old.lease_holder != this->local_id && holder_is_live && wall_now < old.lease_end)
    {
        return std::nullopt;
    }
    const auto required = this->required_seeds(ranked.size());
    if (document && live_seeds(old.seeds, ranked) * 2 >= required)
    {
        return std::nullopt;
    }
    write_seeds action{{{}, this->local_id, wall_now + this->limits.lease}, version};
    auto& seeds = action.document.seeds;
    for (std::size_t position = 0; position < required; ++position)
    {
        seeds.push_back({ranked[position].id, ranked[position].peer_address});
    }
    for (const seed& each : old.seeds)
    {
        const bool listed = std::ranges::find(seeds, each.id, &seed::id) != seeds.end();
        if (!listed && seeds.size() < required + this->limits.kept_seeds)
        {
            seeds.push_back(each);
        }
    }
    this->last_seeds = seeds;
    return action;
}

void seed_duty::on_members(const std::vector<member>& members, core::time_point now, std::mt19937_64& random)
{
    if (!this->on_duty(members))
    {
        return;
    }
    const auto ranked = this->candidates(members);
    if (live_seeds(this->last_seeds, ranked) * 2 >= this->required_seeds(ranked.size()))
    {
        return;
    }
    const auto due = std::max(now + core::jittered_interval(this->limits.early_wait, random), this->earliest_read);
    this->next_read = std::min(this->next_read, due);
}

void seed_duty::on_failed(core::time_point now, std::mt19937_64& random)
{
    this->read_interval = std::min(this->read_interval * 2, this->limits.backoff_limit);
    this->next_read = now + core::jittered_interval(this->read_interval, random);
    this->earliest_read = this->next_read;
}

void seed_duty::on_done() noexcept
{
    this->read_interval = this->limits.interval;
}

std::size_t seed_duty::required_seeds(std::size_t live) const noexcept
{
    return std::min(this->limits.live_seeds, live);
}

std::vector<member> seed_duty::candidates(const std::vector<member>& members) const
{
    std::vector<member> eligible;
    for (const member& each : members)
    {
        if (is_live(each) && !each.draining)
        {
            eligible.push_back(each);
        }
    }
    return rendezvous_order(this->key, std::move(eligible));
}

std::vector<core::socket_address> addresses_of(const seeds_document& document)
{
    std::vector<core::socket_address> addresses;
    for (const seed& each : document.seeds)
    {
        addresses.push_back(each.peer_address);
    }
    return addresses;
}

} // namespace poplarport::membership
