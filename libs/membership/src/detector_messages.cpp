#include <algorithm> // max, min, ranges::sample, ranges::shuffle
#include <cassert>   // assert
#include <iterator>  // back_inserter
#include <random>    // binomial_distribution
#include <utility>   // move

#include "poplarport/membership/detector.hpp"
#include "poplarport/membership/jitter.hpp"

namespace poplarport::membership
{

namespace
{

/// Indirect probes that one member relays at a time, so that a fault elsewhere costs it a bounded amount of memory.
constexpr std::size_t highest_relays = 64;

const message_header& header_of(const message& value) noexcept
{
    return std::visit([](const auto& kind) -> const message_header& { return kind.header; }, value);
}

} // namespace

detector_output detector::receive(const core::socket_address& from, const message& value, core::time_point now,
                                  std::mt19937_64& random)
{
    detector_output output;
    if (this->passive())
    {
        return output;
    }
    const message_header& envelope = header_of(value);
    if (envelope.service != this->service)
    {
        ++this->counts.other_service;
        return output;
    }
    this->detect_freeze(now, random);
    this->apply({envelope.sender, {}}, now, random, output);
    if (envelope.sender.id != this->own.id && !this->passive())
    {
        std::visit([&](const auto& kind) { this->handle(from, kind, now, random, output); }, value);
    }
    this->expect_wakeup(now);
    return output;
}

void detector::handle(const core::socket_address& from, const ping& value, core::time_point now,
                      std::mt19937_64& random, detector_output& output)
{
    if (value.target != this->own.id)
    {
        ++this->counts.other_target;
        return;
    }
    this->apply_all(value.gossip, now, random, output);
    ack answer{this->header(), value.sequence, {}};
    const member& sender = value.header.sender;
    answer.gossip =
        this->take_gossip(estimated_size(message{answer}), sender.id, this->differs_from_table(sender), now);
    output.messages.push_back({from, std::move(answer)});
}

void detector::handle(const core::socket_address& /*from*/, const ack& value, core::time_point now,
                      std::mt19937_64& random, detector_output& output)
{
    this->apply_all(value.gossip, now, random, output);
    if (this->probe && this->probe->sequence == value.sequence)
    {
        this->probe.reset();
        return;
    }
    const auto found = this->relays.find(value.sequence);
    if (found == this->relays.end())
    {
        ++this->counts.unmatched_acks;
        return;
    }
    ack report{this->header(), found->second.sequence, {{value.header.sender, {}}}};
    output.messages.push_back({found->second.requester, std::move(report)});
    this->relays.erase(found);
}

void detector::handle(const core::socket_address& from, const indirect_ping& value, core::time_point now,
                      std::mt19937_64& random, detector_output& output)
{
    this->apply_all(value.gossip, now, random, output);
    if (this->relays.size() >= highest_relays)
    {
        ++this->counts.relays_refused;
        return;
    }
    ping probe_for_other{this->header(), ++this->last_sequence, value.target, {}};
    probe_for_other.gossip = this->take_gossip(estimated_size(message{probe_for_other}), value.target, true, now);
    this->relays[this->last_sequence] = {from, value.sequence, now + this->limits.probe_interval};
    output.messages.push_back({value.target_address, std::move(probe_for_other)});
}

void detector::handle(const core::socket_address& from, const sync_request& value, core::time_point now,
                      std::mt19937_64& random, detector_output& output)
{
    if (value.hash != this->local_hash())
    {
        this->send_list(from, true, now, random, output);
    }
}

void detector::handle(const core::socket_address& from, const member_updates& value, core::time_point now,
                      std::mt19937_64& random, detector_output& output)
{
    this->apply_all(value.entries, now, random, output);
    if (value.response_requested)
    {
        this->send_list(from, false, now, random, output);
    }
}

void detector::apply_all(const std::vector<member_entry>& entries, core::time_point now, std::mt19937_64& random,
                         detector_output& output)
{
    for (const member_entry& each : entries)
    {
        this->apply(each, now, random, output);
    }
}

void detector::apply(const member_entry& entry, core::time_point now, std::mt19937_64& random, detector_output& output)
{
    if (entry.member.id == this->own.id)
    {
        this->apply_about_self(entry.member, now, output);
        return;
    }
    // Three entries fit into a message, so that its header and an entry about the receiver leave room for news.
    if (estimated_size(entry.member) > this->limits.message_bytes / 3)
    {
        ++this->counts.oversized;
        return;
    }
    auto event = this->table.apply(entry, this->suspicion_time(), now);
    if (!event)
    {
        return;
    }
    // Each member tells its version itself; passing it on would cost a message for each pair of members.
    if (event->change != member_change::configured)
    {
        this->news.add(entry.member.id);
    }
    if (event->change == member_change::joined)
    {
        const auto place = index_below(this->probe_order.size() + 1, random);
        this->probe_order.insert(this->probe_order.begin() + static_cast<std::ptrdiff_t>(place), entry.member.id);
    }
    output.events.push_back(std::move(*event));
}

void detector::apply_about_self(const member& claimed, core::time_point now, detector_output& output)
{
    if (claimed.incarnation < this->own.incarnation)
    {
        return;
    }
    if (claimed.incarnation > this->own.incarnation)
    {
        if (claimed.peer_address != this->own.peer_address && is_live(claimed))
        {
            this->is_superseded = true;
            output.events.push_back({member_change::superseded, claimed});
            return;
        }
        // An earlier start under this id had a clock that was ahead.
        this->own.incarnation = claimed.incarnation + 1;
        this->own.revision = 0;
        ++this->counts.refutations;
        this->publish_self(now);
        return;
    }
    if (this->own.deregistered_instance.empty())
    {
        // Others remember it from before a restart of this process.
        this->own.deregistered_instance = claimed.deregistered_instance;
    }
    if (claimed.revision < this->own.revision ||
        (claimed.revision == this->own.revision && claimed.state == this->own.state))
    {
        return;
    }
    this->own.revision = claimed.revision + 1;
    ++this->counts.refutations;
    this->publish_self(now);
}

message_header detector::header() const
{
    return {this->service, this->own};
}

std::vector<member_entry> detector::take_gossip(std::size_t used_bytes, const core::node_id& receiver,
                                                bool about_receiver, core::time_point now)
{
    std::vector<member_entry> entries;
    const auto append = [&](const detail::member_record& record)
    {
        const auto size = estimated_size(record.member);
        if (used_bytes + size > this->limits.message_bytes)
        {
            return false;
        }
        used_bytes += size;
        entries.push_back(this->table.entry(record, now));
        return true;
    };
    // A member that is taken for suspect or ended must learn it first of all, otherwise it cannot refute.
    const auto* own_record = about_receiver ? this->table.find(receiver) : nullptr;
    if (own_record != nullptr)
    {
        append(*own_record);
    }
    for (const core::node_id& id : this->news.in_order())
    {
        // This member's own entry is in the header of every message; the receiver knows its own entry.
        const bool known_there = id == this->own.id || id == receiver;
        const auto* record = this->table.find(id);
        if (known_there || (record != nullptr && append(*record)))
        {
            this->news.on_sent(id, this->transmissions());
        }
    }
    return entries;
}

bool detector::differs_from_table(const member& sender) const
{
    const auto* record = this->table.find(sender.id);
    return record != nullptr && record->member != sender;
}

void detector::send_list(const core::socket_address& to, bool response_requested, core::time_point now,
                         std::mt19937_64& random, detector_output& output) const
{
    std::vector<member_entry> remaining = this->entries(now);
    // A list that does not fit is sent in part; the random order covers all entries over several exchanges.
    std::ranges::shuffle(remaining, random);
    for (std::size_t part = 0; part < this->limits.sync_datagrams; ++part)
    {
        member_updates value{this->header(), response_requested && part == 0, {}};
        auto used = estimated_size(message{value});
        while (!remaining.empty() && used + estimated_size(remaining.back().member) <= this->limits.message_bytes)
        {
            used += estimated_size(remaining.back().member);
            value.entries.push_back(std::move(remaining.back()));
            remaining.pop_back();
        }
        output.messages.push_back({to, std::move(value)});
        if (remaining.empty())
        {
            return;
        }
    }
}

std::vector<member> detector::pick_gossip_targets(std::mt19937_64& random) const
{
    std::vector<member> near;
    std::vector<member> far;
    for (auto& each : this->table.live())
    {
        auto& side = each.availability_zone == this->own.availability_zone ? near : far;
        side.push_back(std::move(each));
    }
    const auto all = static_cast<double>(near.size() + far.size());
    const auto even_share = all > 0.0 ? static_cast<double>(far.size()) / all : 0.0;
    const auto zone_sends = static_cast<double>((near.size() + 1) * this->transmissions());
    const auto share = std::min(even_share, static_cast<double>(this->limits.copies_between_zones) / zone_sends);
    std::binomial_distribution<std::size_t> count{this->limits.gossip_fanout, share};
    const auto far_count = count(random);
    const auto near_count = this->limits.gossip_fanout - far_count;
    std::vector<member> picked;
    std::ranges::sample(far, std::back_inserter(picked), static_cast<std::ptrdiff_t>(far_count), random);
    std::ranges::sample(near, std::back_inserter(picked), static_cast<std::ptrdiff_t>(near_count), random);
    return picked;
}

std::vector<member> detector::pick_live(std::size_t count, const core::node_id& except, std::mt19937_64& random) const
{
    auto candidates = this->table.live();
    std::erase_if(candidates, [&except](const member& each) { return each.id == except; });
    std::vector<member> picked;
    std::ranges::sample(candidates, std::back_inserter(picked), static_cast<std::ptrdiff_t>(count), random);
    return picked;
}

} // namespace poplarport::membership
