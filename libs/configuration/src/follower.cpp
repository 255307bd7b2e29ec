#include "poplarport/configuration/follower.hpp"

#include <algorithm> // min, ranges::any_of, ranges::find, ranges::shuffle
#include <utility>   // move, pair

#include <xxhash.h> // XXH64

namespace poplarport::configuration
{

namespace
{

core::duration up_to(core::duration bound, std::mt19937_64& random)
{
    return core::duration{std::uniform_int_distribution<core::duration::rep>{0, bound.count()}(random)};
}

} // namespace

bool must_watch(std::string_view service, const core::node_id& self, const std::vector<peer_version>& members,
                std::size_t watchers)
{
    const auto seed = XXH64(service.data(), service.size(), 0);
    const auto weight = [seed](const core::node_id& id)
    {
        return std::pair{XXH64(id.data(), id.size(), seed), id};
    };
    if (std::ranges::find(members, self, &peer_version::id) == members.end())
    {
        return false;
    }
    const auto own_weight = weight(self);
    const auto is_before = [&](const peer_version& each)
    {
        return weight(each.id) > own_weight;
    };
    return static_cast<std::size_t>(std::ranges::count_if(members, is_before)) < watchers;
}

follower::follower(core::node_id self, check_function accept, const follower_settings& settings)
    : local_id(std::move(self)), check(std::move(accept)), limits(settings)
{
}

void follower::follow(const std::string& service, core::time_point now, std::mt19937_64& random)
{
    const auto [place, is_new] = this->services.try_emplace(service);
    if (!is_new)
    {
        return;
    }
    service_state& state = place->second;
    state.pull.next = now + up_to(this->limits.jitter, random);
    state.start_end = now + this->limits.start_wait + up_to(this->limits.jitter, random);
}

std::vector<follower_action> follower::unfollow(const std::string& service)
{
    std::vector<follower_action> actions;
    const auto found = this->services.find(service);
    if (found == this->services.end())
    {
        return actions;
    }
    if (found->second.watching)
    {
        actions.emplace_back(stop_watch{service});
    }
    this->services.erase(found);
    return actions;
}

std::error_code follower::offer(const document& offered, const document_source& source, core::time_point now)
{
    const auto found = this->services.find(offered.service);
    if (found == this->services.end())
    {
        return error::not_followed;
    }
    service_state& state = found->second;
    source_counters& counts = this->counters_of(source);
    const auto held = state.held ? state.held->version : 0;
    if (offered.version < held)
    {
        ++counts.older;
        return error::older_version;
    }
    if (state.held && offered.version == held)
    {
        const bool same = offered.content == state.held->content;
        ++(same ? counts.equal : counts.conflicts);
        return same ? error::same_version : error::same_version_differs;
    }
    if (offered.version == 0 || this->check(offered))
    {
        ++counts.failed_checks;
        if (source.peer.empty())
        {
            state.refused = std::max(state.refused, offered.version);
        }
        else
        {
            state.avoided_until[source.peer] = now + this->limits.rejected_source_backoff;
        }
        return error::check_failed;
    }
    ++counts.accepted;
    state.held = offered;
    return {};
}

void follower::on_members(const std::string& service, std::vector<peer_version> members, core::time_point now,
                          std::mt19937_64& random)
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
    {
        return;
    }
    const bool was_behind = this->is_behind(found->second);
    found->second.members = std::move(members);
    this->delay_pull(found->second, was_behind, now, random);
}

void follower::on_version_seen(const std::string& service, const core::node_id& peer, core::version version,
                               core::time_point now, std::mt19937_64& random)
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
    {
        return;
    }
    const bool was_behind = this->is_behind(found->second);
    auto& members = found->second.members;
    const auto known = std::ranges::find(members, peer, &peer_version::id);
    if (known != members.end())
    {
        known->version = std::max(known->version, version);
        this->delay_pull(found->second, was_behind, now, random);
    }
}

void follower::on_response(const std::string& service, const document_source& source, bool success,
                           core::time_point now, std::mt19937_64& random)
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
    {
        return;
    }
    service_state& state = found->second;
    if (source.peer.empty())
    {
        state.watching = false;
        this->finish_request(state.platform, success, this->platform_backoff_limit(service, state), now, random);
        if (state.stage == phase::querying_platform && success)
        {
            this->finish_start(state, now, random);
        }
        return;
    }
    if (state.asked.erase(source.peer) > 0 && state.asked.empty() && state.stage == phase::querying_peers)
    {
        this->finish_start(state, now, random);
        return;
    }
    if (state.pull.timeout && source.peer == state.pulled_peer)
    {
        // A peer that answers without the version that it announced counts as failed, so that it is not asked at once.
        const auto peer = std::ranges::find(state.members, source.peer, &peer_version::id);
        const bool useful = peer == state.members.end() || peer->version <= this->version_of(service);
        this->finish_request(state.pull, success && useful, this->limits.backoff_limit, now, random);
    }
}

std::vector<follower_action> follower::tick(core::time_point now, std::mt19937_64& random)
{
    std::vector<follower_action> actions;
    for (auto& [service, state] : this->services)
    {
        this->expire_requests(service, state, now, random);
        switch (state.stage)
        {
        case phase::querying_peers:
            this->query_peers(service, state, now, random, actions);
            break;
        case phase::querying_platform:
            this->query_platform(service, state, now, actions);
            this->pull_when_behind(service, state, now, random, actions);
            break;
        case phase::following:
            this->watch_when_on_duty(service, state, now, actions);
            this->pull_when_behind(service, state, now, random, actions);
            break;
        }
    }
    return actions;
}

std::optional<core::time_point> follower::next_wakeup() const
{
    std::optional<core::time_point> next;
    for (const auto& [service, state] : this->services)
    {
        const auto wakeup = this->wakeup_of(service, state);
        next = next && wakeup ? std::min(*next, *wakeup) : (next ? next : wakeup);
    }
    return next;
}

const document* follower::find(const std::string& service) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.held ? &*found->second.held : nullptr;
}

core::version follower::version_of(const std::string& service) const
{
    const auto* held = this->find(service);
    return held == nullptr ? 0 : held->version;
}

source_counters& follower::counters_of(const document_source& source)
{
    const bool listed = this->by_source.contains(source) || this->by_source.size() < this->limits.counted_sources;
    return this->by_source[listed ? source : document_source{std::string{other_sources}}];
}

void follower::expire_requests(const std::string& service, service_state& state, core::time_point now,
                               std::mt19937_64& random)
{
    if (state.platform.timeout && now >= *state.platform.timeout)
    {
        state.watching = false;
        this->finish_request(state.platform, false, this->platform_backoff_limit(service, state), now, random);
    }
    if (state.pull.timeout && now >= *state.pull.timeout)
    {
        this->finish_request(state.pull, false, this->limits.backoff_limit, now, random);
    }
    const auto expired = std::erase_if(state.asked, [now](const auto& each) { return now >= each.second; });
    if (expired > 0 && state.asked.empty() && state.stage == phase::querying_peers)
    {
        this->finish_start(state, now, random);
    }
    std::erase_if(state.avoided_until, [now](const auto& each) { return now >= each.second; });
}

void follower::query_peers(const std::string& service, service_state& state, core::time_point now,
                           std::mt19937_64& random, std::vector<follower_action>& actions)
{
    if (!state.asked.empty() || now < state.pull.next)
    {
        return;
    }
    std::vector<core::node_id> peers;
    for (const peer_version& each : state.members)
    {
        if (each.id != this->local_id)
        {
            peers.push_back(each.id);
        }
    }
    if (peers.empty())
    {
        if (now >= state.start_end)
        {
            this->finish_start(state, now, random);
            this->query_platform(service, state, now, actions);
        }
        return;
    }
    std::ranges::shuffle(peers, random);
    peers.resize(std::min(peers.size(), this->limits.start_peers));
    for (const core::node_id& peer : peers)
    {
        state.asked[peer] = now + this->limits.request_timeout;
        actions.emplace_back(pull_peer{service, peer, this->version_of(service)});
    }
}

void follower::query_platform(const std::string& service, service_state& state, core::time_point now,
                              std::vector<follower_action>& actions)
{
    if (state.held)
    {
        // A peer served the document while the platform did not answer.
        state.stage = phase::following;
        return;
    }
    if (state.platform.timeout || now < state.platform.next)
    {
        return;
    }
    state.platform.timeout = now + this->limits.request_timeout;
    actions.emplace_back(read_platform{service});
}

void follower::watch_when_on_duty(const std::string& service, service_state& state, core::time_point now,
                                  std::vector<follower_action>& actions)
{
    const bool on_duty = must_watch(service, this->local_id, state.members, this->limits.watchers);
    if (!on_duty && state.watching)
    {
        state.watching = false;
        state.platform.timeout.reset();
        actions.emplace_back(stop_watch{service});
        return;
    }
    if (!on_duty || state.platform.timeout || now < state.platform.next)
    {
        return;
    }
    state.watching = true;
    state.platform.timeout = now + this->limits.watch_timeout;
    // A document that was refused is not asked for again; the next version may be valid.
    const auto after = std::max(state.refused, state.held ? state.held->version : 0);
    actions.emplace_back(watch_platform{service, after});
}

void follower::pull_when_behind(const std::string& service, service_state& state, core::time_point now,
                                std::mt19937_64& random, std::vector<follower_action>& actions)
{
    if (state.pull.timeout || now < state.pull.next)
    {
        return;
    }
    auto peers = this->ahead(state, now);
    if (peers.empty())
    {
        return;
    }
    std::ranges::shuffle(peers, random);
    state.pulled_peer = peers.front();
    state.pull.timeout = now + this->limits.request_timeout;
    actions.emplace_back(pull_peer{service, state.pulled_peer, this->version_of(service)});
}

std::vector<core::node_id> follower::ahead(const service_state& state, core::time_point now) const
{
    const auto held = state.held ? state.held->version : 0;
    std::vector<core::node_id> peers;
    for (const peer_version& each : state.members)
    {
        const auto avoided = state.avoided_until.find(each.id);
        const bool usable = avoided == state.avoided_until.end() || now >= avoided->second;
        if (each.id != this->local_id && each.version > held && usable)
        {
            peers.push_back(each.id);
        }
    }
    return peers;
}

void follower::finish_request(request_state& request, bool success, core::duration limit, core::time_point now,
                              std::mt19937_64& random) const
{
    request.timeout.reset();
    if (success)
    {
        request.failures = 0;
        request.next = now;
        return;
    }
    constexpr std::size_t highest_shift = 16;
    const auto shift = std::min(request.failures, highest_shift);
    const auto wait = std::min(this->limits.backoff * (std::int64_t{1} << shift), limit);
    ++request.failures;
    request.next = now + wait / 2 + up_to(wait / 2, random);
}

core::duration follower::platform_backoff_limit(const std::string& service, const service_state& state) const
{
    // A node that holds no document may be alone in its list of members, so it is not taken for the first watcher.
    const bool is_first = state.stage == phase::following && must_watch(service, this->local_id, state.members, 1);
    return is_first ? this->limits.first_watcher_backoff_limit : this->limits.backoff_limit;
}

void follower::finish_start(service_state& state, core::time_point now, std::mt19937_64& random) const
{
    state.asked.clear();
    if (state.held || state.stage == phase::querying_platform)
    {
        state.stage = phase::following;
        return;
    }
    state.stage = phase::querying_platform;
    state.platform.next = now + up_to(this->limits.jitter, random);
}

void follower::delay_pull(service_state& state, bool was_behind, core::time_point now, std::mt19937_64& random) const
{
    // All members learn of a new version at about the same time; the wait spreads their pulls.
    if (!was_behind && this->is_behind(state))
    {
        state.pull.next = std::max(state.pull.next, now + up_to(this->limits.jitter, random));
    }
}

bool follower::is_behind(const service_state& state) const
{
    return !this->ahead(state, core::time_point::max()).empty();
}

std::optional<core::time_point> follower::wakeup_of(const std::string& service, const service_state& state) const
{
    std::optional<core::time_point> next;
    const auto consider = [&next](std::optional<core::time_point> candidate)
    {
        next = next && candidate ? std::min(*next, *candidate) : (next ? next : candidate);
    };
    if (state.stage == phase::querying_peers)
    {
        for (const auto& [peer, timeout] : state.asked)
        {
            consider(timeout);
        }
        const bool alone = must_watch(service, this->local_id, state.members, 1) && state.members.size() == 1;
        const bool no_peers = state.members.empty() || alone;
        consider(next ? next : (no_peers ? state.start_end : state.pull.next));
        return next;
    }
    const bool platform_wanted = state.stage == phase::querying_platform ||
                                 must_watch(service, this->local_id, state.members, this->limits.watchers);
    if (platform_wanted || state.platform.timeout)
    {
        consider(state.platform.timeout.value_or(state.platform.next));
    }
    consider(state.pull.timeout ? state.pull.timeout : this->pull_wakeup(state));
    return next;
}

std::optional<core::time_point> follower::pull_wakeup(const service_state& state) const
{
    std::optional<core::time_point> next;
    for (const core::node_id& peer : this->ahead(state, core::time_point::max()))
    {
        const auto avoided = state.avoided_until.find(peer);
        const auto usable = avoided == state.avoided_until.end() ? state.pull.next : avoided->second;
        const auto start = std::max(usable, state.pull.next);
        next = next ? std::min(*next, start) : start;
    }
    return next;
}

follower::builder& follower::builder::self(core::node_id id)
{
    this->local_id = std::move(id);
    return *this;
}

follower::builder& follower::builder::check(check_function function)
{
    this->accept = std::move(function);
    return *this;
}

follower::builder& follower::builder::settings(const follower_settings& value)
{
    this->limits = value;
    return *this;
}

follower follower::builder::build() const
{
    return {this->local_id, this->accept, this->limits};
}

} // namespace poplarport::configuration
