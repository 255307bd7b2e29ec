#include "poplarport/membership/seed_duty.hpp"

#include <algorithm> // min, ranges::count_if, ranges::find
#include <utility>   // move

#include "poplarport/membership/detail/jitter.hpp"
#include "poplarport/membership/rendezvous.hpp"

namespace poplarport::membership
{

seed_duty::seed_duty(std::string service, core::node_id self, const seed_duty_settings& settings, core::time_point now,
                     std::mt19937_64& random)
    : key("seeds/" + std::move(service)), own_id(std::move(self)), limits(settings), wait(settings.interval),
      next_read(now + detail::up_to(settings.interval, random))
{
}

bool seed_duty::on_duty(const std::vector<member>& members) const
{
    const auto order = this->candidates(members);
    return !order.empty() && order.front().id == this->own_id;
}

std::optional<seed_action> seed_duty::tick(const std::vector<member>& members, core::time_point now,
                                           std::mt19937_64& random)
{
    if (now < this->next_read)
    {
        return std::nullopt;
    }
    this->next_read = now + detail::around(this->wait, random);
    return this->on_duty(members) ? std::optional<seed_action>{read_seeds{}} : std::nullopt;
}

std::optional<seed_action> seed_duty::on_read(const std::optional<seeds_document>& document, core::version version,
                                              const std::vector<member>& members, wall_time wall_now) const
{
    if (!this->on_duty(members))
    {
        return std::nullopt;
    }
    const seeds_document old = document.value_or(seeds_document{});
    if (old.lease_holder != this->own_id && wall_now < old.lease_end)
    {
        return std::nullopt;
    }
    const auto order = this->candidates(members);
    const auto is_live_seed = [&order](const seed& each)
    {
        const auto same = [&each](const member& live)
        {
            return live.id == each.id && live.peer_address == each.peer_address;
        };
        return std::ranges::any_of(order, same);
    };
    const auto wanted = std::min(this->limits.live_seeds, order.size());
    const auto useful = static_cast<std::size_t>(std::ranges::count_if(old.seeds, is_live_seed));
    if (document && useful * 2 >= wanted)
    {
        return std::nullopt;
    }
    write_seeds action{{{}, this->own_id, wall_now + this->limits.lease}, version};
    auto& seeds = action.document.seeds;
    for (std::size_t place = 0; place < wanted; ++place)
    {
        seeds.push_back({order[place].id, order[place].peer_address});
    }
    for (const seed& each : old.seeds)
    {
        const bool listed = std::ranges::find(seeds, each.id, &seed::id) != seeds.end();
        if (!listed && seeds.size() < wanted + this->limits.kept_seeds)
        {
            seeds.push_back(each);
        }
    }
    return action;
}

void seed_duty::on_failed(core::time_point now, std::mt19937_64& random)
{
    this->wait = std::min(this->wait * 2, this->limits.back_off_limit);
    this->next_read = now + detail::around(this->wait, random);
}

void seed_duty::on_done() noexcept
{
    this->wait = this->limits.interval;
}

std::vector<member> seed_duty::candidates(const std::vector<member>& members) const
{
    std::vector<member> staying;
    for (const member& each : members)
    {
        if (is_live(each) && !each.draining)
        {
            staying.push_back(each);
        }
    }
    return rendezvous_order(this->key, std::move(staying));
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
