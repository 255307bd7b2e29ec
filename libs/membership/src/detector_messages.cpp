#include <algorithm> // max, min, ranges::sample, ranges::shuffle, ranges::stable_sort
#include <cassert>   // assert
#include <iterator>  // back_inserter
#include <random>    // binomial_distribution
#include <utility>   // move

#include "poplarport/core/jitter.hpp"
#include "poplarport/membership/detector.hpp"

namespace poplarport::membership
{

namespace
{

/// Maximum number of indirect probes that one member relays at a time; bounds the memory used if a peer malfunctions.
constexpr std::size_t max_relays = 64;

const message_header& header_of(const message& received) noexcept
{
    return std::visit([](const auto& kind) -> const message_header& { return kind.header; }, received);
}

} // namespace

detector_output detector::receive(const core::socket_address& from, const message& received, core::time_point now,
                                  std::mt19937_64& random)
{
    detector_output output;
    if (this->passive())
    {
        return output;
    }
    const message_header& received_header = header_of(received);
    if (received_header.service != this->service)
    {
        ++this->counts.other_service;
        return output;
    }
    this->detect_freeze(now, random);
    this->apply({received_header.sender, {}}, now, random, output);
    if (received_header.sender.id != this->local_member.id && !this->passive())
    {
        std::visit([&](const auto& kind) { this->handle(from, kind, now, random, output); }, received);
    }
    this->expect_wakeup(now);
    return output;
}

void detector::handle(const core::socket_address& from, const ping& request, core::time_point now,
                      std::mt19937_64& random, detector_output& output)
{
    if (request.target != this->local_member.id)
    {
        ++this->counts.other_target;
        return;
    }
    this->apply_all(request.gossip, now, random, output);
    ack response{this->header(), request.sequence, {}};
    const member& sender = request.header.sender;
    response.gossip =
        this->take_gossip(estimated_size(message{response}), sender.id, this->differs_from_table(sender), now);
    output.messages.push_back({from, std::move(response)});
}

void detector::handle(const core::socket_address& /*from*/, const ack& response, core::time_point now,
                      std::mt19937_64& random, detector_output& output)
{
    this->apply_all(response.gossip, now, random, output);
    if (this->probe && this->probe->sequence == response.sequence)
    {
        this->probe.reset();
        return;
    }
    if (std::erase_if(this->checks, [&](const auto& each) { return each.second.sequence == response.sequence; }) > 0)
    {
        return;
    }
    const auto found = this->relays.find(response.sequence);
    if (found == this->relays.end())
    {
        ++this->counts.unmatched_acks;
        return;
    }
    ack relayed_ack{this->header(), found->second.sequence, {{response.header.sender, {}}}};
    output.messages.push_back({found->second.requester, std::move(relayed_ack)});
    this->relays.erase(found);
}

void detector::handle(const core::socket_address& from, const indirect_ping& request, core::time_point now,
                      std::mt19937_64& random, detector_output& output)
{
    this->apply_all(request.gossip, now, random, output);
    if (this->relays.size() >= max_relays)
    {
        ++this->counts.relays_refused;
        return;
    }
    ping relayed_ping{this->header(), ++this->last_sequence, request.target, {}};
    relayed_ping.gossip = this->take_gossip(estimated_size(message{relayed_ping}), request.target, true, now);
    this->relays[this->last_sequence] = {from, request.sequence, now + this->limits.probe_interval};
    output.messages.push_back({request.target_address, std::move(relayed_ping)});
}

void detector::handle(const core::socket_address& from, const sync_request& request, core::time_point now,
                      std::mt19937_64& random, detector_output& output)
{
    if (request.hash != this->local_hash())
    {
        this->send_list(from, true, request.parts, now, random, output);
    }
}

void detector::handle(const core::socket_address& from, const member_updates& updates, core::time_point now,
                      std::mt19937_64& random, detector_output& output)
{
    const auto known = this->table.live_count();
    this->apply_all(updates.entries, now, random, output);
    if (updates.response_requested)
    {
        this->send_list(from, false, updates.parts, now, random, output);
    }
    if (!updates.parts.empty() && this->table.live_count() > known)
    {
        this->next_sync = std::min(this->next_sync, now + this->limits.list_repeat_delay);
        this->list_sender = from;
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
    if (entry.member.id == this->local_member.id)
    {
        this->apply_about_self(entry.member, now, output);
        return;
    }
    // Three entries fit into a message, so the header and an entry about the receiver leave room for a gossip update.
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
    // Each member announces its own version; relaying it would cost a message for each pair of members.
    if (event->change != member_change::configured)
    {
        this->pending_updates.add(entry.member.id);
    }
    if (event->change == member_change::joined)
    {
        const auto position = core::index_below(this->probe_order.size() + 1, random);
        this->probe_order.insert(this->probe_order.begin() + static_cast<std::ptrdiff_t>(position), entry.member.id);
        const auto early_sync = now + core::jittered_interval(this->limits.join_sync_delay, random);
        this->is_sync_early = this->is_sync_early || early_sync < this->next_sync;
        this->next_sync = std::min(this->next_sync, early_sync);
    }
    output.events.push_back(std::move(*event));
}

void detector::apply_about_self(const member& claimed, core::time_point now, detector_output& output)
{
    if (claimed.incarnation < this->local_member.incarnation)
    {
        return;
    }
    if (claimed.incarnation > this->local_member.incarnation)
    {
        if (claimed.peer_address != this->local_member.peer_address && is_live(claimed))
        {
            this->is_superseded = true;
            output.events.push_back({member_change::superseded, claimed});
            return;
        }
        // The clock of an earlier instance with this id was ahead.
        this->local_member.incarnation = claimed.incarnation + 1;
        this->local_member.revision = 0;
        ++this->counts.refutations;
        this->publish_self(now);
        return;
    }
    if (this->local_member.deregistered_instance.empty() && !claimed.deregistered_instance.empty())
    {
        // Peers still hold it from before a restart of this process.
        this->local_member.deregistered_instance = claimed.deregistered_instance;
        output.events.push_back({member_change::updated, this->local_member});
    }
    if (claimed.revision < this->local_member.revision ||
        (claimed.revision == this->local_member.revision && claimed.state == this->local_member.state))
    {
        return;
    }
    this->local_member.revision = claimed.revision + 1;
    ++this->counts.refutations;
    this->publish_self(now);
}

message_header detector::header() const
{
    return {this->service, this->local_member};
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
    // A member that is considered suspect, dead or left must receive that entry first, otherwise it cannot refute.
    const auto* own_record = about_receiver ? this->table.find(receiver) : nullptr;
    if (own_record != nullptr)
    {
        append(*own_record);
    }
    // The entries of this member and of the receiver take no space.
    const auto max_updates = this->limits.message_bytes / estimated_size(member{}) + 2;
    for (const core::node_id& id : this->pending_updates.least_transmitted(max_updates))
    {
        // The header of every message contains the entry of this member; the receiver needs no entry about itself.
        const bool receiver_has_entry = id == this->local_member.id || id == receiver;
        const auto* record = this->table.find(id);
        if (receiver_has_entry || (record != nullptr && append(*record)))
        {
            this->pending_updates.on_sent(id, this->max_transmissions());
        }
    }
    return entries;
}

bool detector::differs_from_table(const member& sender) const
{
    const auto* record = this->table.find(sender.id);
    return record != nullptr && record->member != sender;
}

std::vector<member_entry> detector::differing_entries(const std::vector<std::uint32_t>& receiver_parts,
                                                      const std::vector<std::uint32_t>& own_parts, core::time_point now,
                                                      std::mt19937_64& random) const
{
    std::vector<member_entry> result = this->entries(now);
    if (receiver_parts.size() == list_parts)
    {
        std::erase_if(result,
                      [&](const member_entry& each)
                      {
                          const auto part = list_part(each.member.id);
                          return receiver_parts[part] == own_parts[part];
                      });
    }
    // A list that does not fit is truncated. The receiver needs whole parts, otherwise each of them still differs.
    const auto first_part = core::index_below(list_parts, random);
    std::ranges::shuffle(result, random);
    std::ranges::stable_sort(result, {},
                             [first_part](const member_entry& each)
                             { return (list_part(each.member.id) + first_part) % list_parts; });
    return result;
}

void detector::send_list(const core::socket_address& to, bool response_requested,
                         const std::vector<std::uint32_t>& receiver_parts, core::time_point now,
                         std::mt19937_64& random, detector_output& output) const
{
    const auto own_parts = part_hashes(this->members());
    std::vector<member_entry> remaining = this->differing_entries(receiver_parts, own_parts, now, random);
    for (std::size_t index = 0; index < this->limits.sync_datagrams; ++index)
    {
        const bool is_first = index == 0;
        member_updates updates{this->header(), response_requested && is_first, {}};
        if (is_first)
        {
            updates.parts = own_parts;
        }
        auto used = estimated_size(message{updates});
        while (!remaining.empty() && used + estimated_size(remaining.back().member) <= this->limits.message_bytes)
        {
            used += estimated_size(remaining.back().member);
            updates.entries.push_back(std::move(remaining.back()));
            remaining.pop_back();
        }
        output.messages.push_back({to, std::move(updates)});
        if (remaining.empty())
        {
            return;
        }
    }
}

std::vector<const member*> detector::select_gossip_targets(std::mt19937_64& random) const
{
    std::vector<const member*> same_zone;
    std::vector<const member*> other_zones;
    for (const member* each : this->table.live())
    {
        const bool is_same_zone = each->availability_zone == this->local_member.availability_zone;
        (is_same_zone ? same_zone : other_zones).push_back(each);
    }
    const auto total = static_cast<double>(same_zone.size() + other_zones.size());
    const auto uniform_fraction = total > 0.0 ? static_cast<double>(other_zones.size()) / total : 0.0;
    const auto zone_transmissions = static_cast<double>((same_zone.size() + 1) * this->max_transmissions());
    const auto fraction =
        std::min(uniform_fraction, static_cast<double>(this->limits.copies_between_zones) / zone_transmissions);
    std::binomial_distribution<std::size_t> count{this->limits.gossip_fanout, fraction};
    const auto other_zones_count = count(random);
    const auto same_zone_count = this->limits.gossip_fanout - other_zones_count;
    std::vector<const member*> selected;
    std::ranges::sample(other_zones, std::back_inserter(selected), static_cast<std::ptrdiff_t>(other_zones_count),
                        random);
    std::ranges::sample(same_zone, std::back_inserter(selected), static_cast<std::ptrdiff_t>(same_zone_count), random);
    return selected;
}

std::vector<const member*> detector::select_live(std::size_t count, const core::node_id& except,
                                                 std::mt19937_64& random) const
{
    auto candidates = this->table.live();
    std::erase_if(candidates, [&except](const member* each) { return each->id == except; });
    std::vector<const member*> selected;
    std::ranges::sample(candidates, std::back_inserter(selected), static_cast<std::ptrdiff_t>(count), random);
    return selected;
}

} // namespace poplarport::membership
