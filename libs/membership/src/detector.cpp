#include "poplarport/membership/detector.hpp"

#include <algorithm> // max, min, ranges::lower_bound, ranges::shuffle, sort
#include <cassert>   // assert
#include <cmath>     // ceil, log10, log2
#include <iterator>  // back_inserter
#include <utility>   // exchange, move

#include "poplarport/core/jitter.hpp"

namespace poplarport::membership
{

namespace
{

/// Maximum number of addresses contacted in each attempt to join.
constexpr std::size_t max_join_contacts = 3;

/// Maximum number of addresses without a live member that `contact_seeds` contacts, and how many of them are the first
/// ones of the list. Members that read the same list have these in common; with random ones alone, a second member
/// could contact none that knows the first.
constexpr std::size_t max_seed_contacts = 4;
constexpr std::size_t common_seed_contacts = 2;

} // namespace

detector::detector(std::string service_name, member self, const detector_settings& settings,
                   std::vector<core::socket_address> seed_addresses, core::time_point now, std::mt19937_64& random)
    : service(std::move(service_name)), local_member(std::move(self)), limits(settings),
      seeds(std::move(seed_addresses)), table(settings.ended_retention), last_sequence(random()),
      next_probe(now + core::random_duration(settings.start_jitter + settings.probe_interval, random)),
      next_gossip(now), next_sync(now + core::random_duration(settings.start_jitter, random)),
      join_backoff(settings.probe_interval)
{
    this->pending_updates.add(this->local_member.id);
    this->expect_wakeup(now);
}

void detector::set_seeds(std::vector<core::socket_address> addresses)
{
    this->seeds = std::move(addresses);
}

detector_output detector::tick(core::time_point now, std::mt19937_64& random)
{
    detector_output output;
    if (this->passive())
    {
        return output;
    }
    this->detect_freeze(now, random);
    std::erase_if(this->relays, [now](const auto& each) { return now >= each.second.expiry; });
    this->probe_when_due(now, random, output);
    this->advance_checks(now, random, output);
    this->expire_members(now, output);
    this->sync_when_due(now, random, output);
    this->gossip_when_due(now, random, output);
    this->expect_wakeup(now);
    return output;
}

void detector::drain(core::time_point now)
{
    if (this->local_member.draining)
    {
        return;
    }
    this->local_member.draining = true;
    ++this->local_member.revision;
    this->publish_self(now);
}

detector_output detector::leave(core::time_point now, std::mt19937_64& random)
{
    detector_output output;
    if (this->passive())
    {
        return output;
    }
    this->local_member.state = member_state::left;
    ++this->local_member.revision;
    for (const member* peer : this->select_live(this->limits.leave_fanout, this->local_member.id, random))
    {
        output.messages.push_back({peer->peer_address, member_updates{this->header(), false, {}}});
    }
    this->expect_wakeup(now);
    return output;
}

void detector::set_configuration_version(core::version version, core::time_point now)
{
    if (version <= this->local_member.configuration_version)
    {
        return;
    }
    this->local_member.configuration_version = version;
    this->publish_self(now);
}

void detector::set_accepting(bool accepting, core::time_point now)
{
    if (accepting == this->local_member.accepting)
    {
        return;
    }
    this->local_member.accepting = accepting;
    ++this->local_member.revision;
    this->publish_self(now);
}

void detector::set_reaches_store(bool reaches, core::time_point now)
{
    if (reaches == this->local_member.reaches_store)
    {
        return;
    }
    this->local_member.reaches_store = reaches;
    ++this->local_member.revision;
    this->publish_self(now);
}

void detector::set_deregistered(std::string instance, core::time_point now)
{
    assert(!instance.empty());
    if (instance == this->local_member.deregistered_instance)
    {
        return;
    }
    this->local_member.deregistered_instance = std::move(instance);
    ++this->local_member.revision;
    this->publish_self(now);
}

std::vector<member> detector::members() const
{
    std::vector<member> members;
    members.reserve(this->table.live_count() + 1);
    for (const member* each : this->table.live())
    {
        members.push_back(*each);
    }
    if (is_live(this->local_member))
    {
        const auto position = std::ranges::lower_bound(members, this->local_member.id, {}, &member::id);
        members.insert(position, this->local_member);
    }
    return members;
}

list_response detector::list(std::uint64_t known_hash, core::time_point now) const
{
    const auto hash = this->local_hash();
    if (hash == known_hash)
    {
        return {hash, true, {}};
    }
    return {hash, false, this->entries(now)};
}

std::vector<member_entry> detector::entries(core::time_point now) const
{
    std::vector<member_entry> result{{this->local_member, {}}};
    for (const auto& [id, record] : this->table.records())
    {
        result.push_back(this->table.entry(record, now));
    }
    return result;
}

core::time_point detector::next_wakeup() const
{
    auto next = std::min(this->next_probe, this->next_sync);
    if (this->probe && !this->probe->indirect_sent)
    {
        next = std::min(next, this->probe->direct_end);
    }
    for (const auto& [id, check] : this->checks)
    {
        next = std::min({next, check.repeat_at, check.end});
    }
    if (const auto expiry = this->table.next_expiry())
    {
        next = std::min(next, *expiry);
    }
    if (!this->pending_updates.empty() && this->table.live_count() > 0)
    {
        next = std::min(next, this->next_gossip);
    }
    return next;
}

bool detector::passive() const noexcept
{
    return this->is_superseded || this->local_member.state == member_state::left;
}

void detector::detect_freeze(core::time_point now, std::mt19937_64& random)
{
    const auto delay = now - this->expected_wakeup;
    if (delay <= this->limits.freeze_tolerance)
    {
        return;
    }
    // Responses that arrived during the freeze may still be unread, so a missing one does not indicate a failure.
    ++this->counts.freezes;
    this->probe.reset();
    this->checks.clear();
    this->table.postpone_suspicions(delay);
    this->next_probe = now + core::random_duration(this->limits.probe_interval, random);
}

void detector::expect_wakeup(core::time_point now)
{
    this->expected_wakeup = std::max(now, this->next_wakeup());
}

void detector::expire_members(core::time_point now, detector_output& output)
{
    std::vector<core::node_id> dropped;
    for (member_event& event : this->table.expire(now, dropped))
    {
        this->pending_updates.add(event.member.id);
        output.events.push_back(std::move(event));
    }
    for (const core::node_id& id : dropped)
    {
        this->pending_updates.remove(id);
    }
}

void detector::gossip_when_due(core::time_point now, std::mt19937_64& random, detector_output& output)
{
    if (this->pending_updates.empty() || now < this->next_gossip)
    {
        return;
    }
    for (const member* peer : this->select_gossip_targets(random))
    {
        member_updates updates{this->header(), false, {}};
        updates.entries =
            this->take_gossip(estimated_size(message{updates}), peer->id, peer->state != member_state::alive, now);
        output.messages.push_back({peer->peer_address, std::move(updates)});
    }
    this->next_gossip = now + this->limits.gossip_interval;
}

void detector::sync_when_due(core::time_point now, std::mt19937_64& random, detector_output& output)
{
    if (now < this->next_sync)
    {
        return;
    }
    if (this->table.live_count() == 0)
    {
        this->join(now, random, output);
        return;
    }
    this->join_backoff = this->limits.probe_interval;
    this->next_sync = now + core::jittered_interval(this->limits.sync_interval, random);
    const auto partner = this->select_sync_partner(random);
    if (partner != this->local_member.peer_address)
    {
        output.messages.push_back({partner, this->make_sync_request()});
    }
}

core::socket_address detector::select_sync_partner(std::mt19937_64& random)
{
    const bool is_early = std::exchange(this->is_sync_early, false);
    if (const auto sender = std::exchange(this->list_sender, std::nullopt))
    {
        return *sender;
    }
    std::vector<core::socket_address> partners;
    std::vector<core::socket_address> zone_partners;
    for (const auto& [id, record] : this->table.records())
    {
        if (record.member.state == member_state::left)
        {
            continue;
        }
        partners.push_back(record.member.peer_address);
        if (is_live(record.member) && record.member.availability_zone == this->local_member.availability_zone)
        {
            zone_partners.push_back(record.member.peer_address);
        }
    }
    // Traffic between zones costs more, and all members exchange lists after a change.
    if (is_early && !zone_partners.empty())
    {
        return zone_partners[core::index_below(zone_partners.size(), random)];
    }
    std::ranges::copy(this->seeds, std::back_inserter(partners));
    return partners[core::index_below(partners.size(), random)];
}

sync_request detector::make_sync_request() const
{
    return {this->header(), this->local_hash(), part_hashes(this->members())};
}

void detector::join(core::time_point now, std::mt19937_64& random, detector_output& output)
{
    this->next_sync = now + core::jittered_interval(this->join_backoff, random);
    this->join_backoff = std::min(this->join_backoff * 2, this->limits.join_backoff_limit);
    std::vector<core::socket_address> contacts = this->seeds;
    for (const auto& [id, record] : this->table.records())
    {
        contacts.push_back(record.member.peer_address);
    }
    std::erase(contacts, this->local_member.peer_address);
    std::ranges::shuffle(contacts, random);
    contacts.resize(std::min(contacts.size(), max_join_contacts));
    for (const core::socket_address& contact : contacts)
    {
        output.messages.push_back({contact, this->make_sync_request()});
    }
}

detector_output detector::contact_seeds(std::vector<core::socket_address> addresses, std::mt19937_64& random) const
{
    detector_output output;
    if (this->passive())
    {
        return output;
    }
    const auto live = this->members();
    std::erase_if(addresses, [&live](const core::socket_address& address)
                  { return std::ranges::find(live, address, &member::peer_address) != live.end(); });
    const auto common = std::min(addresses.size(), common_seed_contacts);
    std::sort(addresses.begin(), addresses.end());
    std::ranges::shuffle(addresses.begin() + static_cast<std::ptrdiff_t>(common), addresses.end(), random);
    addresses.resize(std::min(addresses.size(), max_seed_contacts));
    for (const auto& address : addresses)
    {
        output.messages.push_back({address, this->make_sync_request()});
    }
    return output;
}

void detector::publish_self(core::time_point now)
{
    this->pending_updates.add(this->local_member.id);
    this->next_gossip = std::min(this->next_gossip, now);
    this->expect_wakeup(now);
}

std::uint64_t detector::local_hash() const
{
    return list_hash(this->members());
}

core::duration detector::suspicion_time() const
{
    const auto size = static_cast<double>(this->table.live_count() + 1);
    const auto factor = this->limits.suspicion_multiplier * std::max(1.0, std::log10(size));
    return std::chrono::duration_cast<core::duration>(this->limits.probe_interval * factor);
}

std::size_t detector::max_transmissions() const
{
    const auto size = static_cast<double>(this->table.live_count() + 1);
    return static_cast<std::size_t>(std::ceil(this->limits.retransmit_multiplier * std::log2(size + 1)));
}

detector::builder& detector::builder::service(std::string name)
{
    this->service_name = std::move(name);
    return *this;
}

detector::builder& detector::builder::self(member entry)
{
    this->local_member = std::move(entry);
    return *this;
}

detector::builder& detector::builder::settings(const detector_settings& new_settings)
{
    this->limits = new_settings;
    return *this;
}

detector::builder& detector::builder::seeds(std::vector<core::socket_address> addresses)
{
    this->seed_addresses = std::move(addresses);
    return *this;
}

detector detector::builder::build(core::time_point now, std::mt19937_64& random) const
{
    assert(!this->local_member.id.empty());
    assert(this->limits.probe_timeout < this->limits.probe_interval);
    return {this->service_name, this->local_member, this->limits, this->seed_addresses, now, random};
}

} // namespace poplarport::membership
