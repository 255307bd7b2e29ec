#include <algorithm> // ranges::shuffle
#include <utility>   // move

#include "poplarport/membership/detector.hpp"

namespace poplarport::membership
{

void detector::probe_when_due(core::time_point now, std::mt19937_64& random, detector_output& output)
{
    if (now >= this->next_probe)
    {
        this->suspect_probed(now, random, output);
        this->start_probe(now, random, output);
        this->next_probe = now + this->limits.probe_interval;
        return;
    }
    if (this->probe && !this->probe->indirect_sent && now >= this->probe->direct_end)
    {
        this->send_indirect_probes(now, random, output);
    }
}

void detector::start_probe(core::time_point now, std::mt19937_64& random, detector_output& output)
{
    const auto target = this->next_target(random);
    if (!target)
    {
        return;
    }
    this->probe = probe_state{*target, ++this->last_sequence, now + this->limits.probe_timeout, false};
    this->send_ping(*target, this->probe->sequence, now, output);
}

void detector::send_ping(const core::node_id& id, std::uint64_t sequence, core::time_point now, detector_output& output)
{
    const member& peer = this->table.find(id)->member;
    ping request{this->header(), sequence, id, {}};
    // A suspect member receives its own entry first, so that it can refute the suspicion in its response.
    request.gossip = this->take_gossip(estimated_size(message{request}), id, peer.state != member_state::alive, now);
    output.messages.push_back({peer.peer_address, std::move(request)});
}

detector_output detector::check(const std::vector<core::node_id>& ids, core::time_point now)
{
    detector_output output;
    if (this->passive())
    {
        return output;
    }
    for (const core::node_id& id : ids)
    {
        const auto* record = this->table.find(id);
        if (record == nullptr || record->member.state != member_state::alive || this->checks.contains(id))
        {
            continue;
        }
        const auto sequence = ++this->last_sequence;
        this->checks[id] = {sequence, now + this->limits.probe_timeout / 2, now + this->limits.probe_timeout};
        this->send_ping(id, sequence, now, output);
    }
    this->expect_wakeup(now);
    return output;
}

void detector::advance_checks(core::time_point now, std::mt19937_64& random, detector_output& output)
{
    for (auto position = this->checks.begin(); position != this->checks.end();)
    {
        const core::node_id id = position->first;
        check_state& check = position->second;
        if (now >= check.end || this->table.find(id) == nullptr)
        {
            position = this->checks.erase(position);
            this->suspect(id, now, random, output);
            continue;
        }
        if (now >= check.repeat_at)
        {
            check.repeat_at = core::time_point::max();
            this->send_ping(id, check.sequence, now, output);
        }
        ++position;
    }
}

void detector::send_indirect_probes(core::time_point now, std::mt19937_64& random, detector_output& output)
{
    this->probe->indirect_sent = true;
    output.probe_timed_out = true;
    const auto* target = this->table.find(this->probe->target);
    if (target == nullptr)
    {
        return;
    }
    for (const member* helper : this->select_live(this->limits.indirect_probes, this->probe->target, random))
    {
        indirect_ping request{
            this->header(), this->probe->sequence, this->probe->target, target->member.peer_address, {}};
        request.gossip = this->take_gossip(estimated_size(message{request}), helper->id, false, now);
        output.messages.push_back({helper->peer_address, std::move(request)});
    }
}

void detector::suspect_probed(core::time_point now, std::mt19937_64& random, detector_output& output)
{
    if (!this->probe)
    {
        return;
    }
    const auto target = this->probe->target;
    this->probe.reset();
    this->suspect(target, now, random, output);
}

void detector::suspect(const core::node_id& id, core::time_point now, std::mt19937_64& random, detector_output& output)
{
    const auto* record = this->table.find(id);
    if (record == nullptr || record->member.state != member_state::alive)
    {
        return;
    }
    ++this->counts.suspicions;
    member_entry entry{record->member, {}};
    entry.member.state = member_state::suspect;
    this->apply(entry, now, random, output);
}

std::optional<core::node_id> detector::next_target(std::mt19937_64& random)
{
    // Each round probes every live member once in random order, which bounds the time between two probes of a member.
    for (int round = 0; round < 2; ++round)
    {
        while (!this->probe_order.empty())
        {
            const auto id = this->probe_order.back();
            this->probe_order.pop_back();
            const auto* record = this->table.find(id);
            if (record != nullptr && is_live(record->member))
            {
                return id;
            }
        }
        for (const member* each : this->table.live())
        {
            this->probe_order.push_back(each->id);
        }
        std::ranges::shuffle(this->probe_order, random);
    }
    return std::nullopt;
}

} // namespace poplarport::membership
