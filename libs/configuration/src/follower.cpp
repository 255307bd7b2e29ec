#include "poplarport/configuration/follower.hpp"

#include <algorithm> // min, ranges::any_of, ranges::find, ranges::shuffle
#include <utility>   // move, pair

#include <xxhash.h> // XXH64

#include "poplarport/configuration/stored_version.hpp"
#include "poplarport/core/jitter.hpp"

namespace poplarport::configuration
{

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
    const auto local_weight = weight(self);
    const auto ranks_higher = [&](const peer_version& each)
    {
        return weight(each.id) > local_weight;
    };
    return static_cast<std::size_t>(std::ranges::count_if(members, ranks_higher)) < watchers;
}

follower::follower(core::node_id self, check_function check_document, copy_function copy_check,
                   const follower_settings& settings)
    : local_id(std::move(self)), check(std::move(check_document)), is_older_copy(std::move(copy_check)),
      active_settings(settings)
{
}

void follower::follow(const std::string& service, core::time_point now, std::mt19937_64& random_engine)
{
    const auto [position, is_new] = this->services.try_emplace(service);
    if (!is_new)
    {
        return;
    }
    service_state& state = position->second;
    state.pull.next_start = now + core::random_duration(this->active_settings.jitter, random_engine);
    state.startup_deadline =
        now + this->active_settings.start_wait + core::random_duration(this->active_settings.jitter, random_engine);
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
    source_counters& counters = this->counters_of(source);
    const auto held_version = state.held_document ? state.held_document->version : 0;
    if (offered.version < held_version)
    {
        ++counters.older;
        return error::older_version;
    }
    if (state.held_document && offered.version == held_version)
    {
        const bool has_same_content = offered.content == state.held_document->content;
        ++(has_same_content ? counters.equal : counters.conflicts);
        return has_same_content ? error::same_version : error::same_version_differs;
    }
    if (offered.version == 0 || this->check(offered))
    {
        ++counters.failed_checks;
        this->reject(state, offered, source, now);
        return error::check_failed;
    }
    const bool is_across_restore = restores_before(held_version) < restores_before(offered.version);
    if (state.held_document && is_across_restore && this->is_older_copy &&
        this->is_older_copy(*state.held_document, offered))
    {
        ++counters.older;
        this->reject(state, offered, source, now);
        return error::older_copy;
    }
    ++counters.accepted;
    state.held_document = offered;
    return {};
}

void follower::reject(service_state& state, const document& offered, const document_source& source,
                      core::time_point now) const
{
    if (source.peer.empty())
    {
        state.rejected_version = std::max(state.rejected_version, offered.version);
        return;
    }
    state.avoided_until[source.peer] = now + this->active_settings.rejected_source_backoff;
}

void follower::on_members(const std::string& service, std::vector<peer_version> members, core::time_point now,
                          std::mt19937_64& random_engine)
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
    {
        return;
    }
    const bool was_behind = this->is_behind(found->second);
    found->second.members = std::move(members);
    this->delay_pull(found->second, was_behind, now, random_engine);
}

void follower::on_version_seen(const std::string& service, const core::node_id& peer, core::version version,
                               core::time_point now, std::mt19937_64& random_engine)
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
    {
        return;
    }
    const bool was_behind = this->is_behind(found->second);
    auto& members = found->second.members;
    const auto listed = std::ranges::find(members, peer, &peer_version::id);
    if (listed != members.end())
    {
        listed->version = std::max(listed->version, version);
        this->delay_pull(found->second, was_behind, now, random_engine);
    }
}

void follower::on_response(const std::string& service, const document_source& source, bool success,
                           core::time_point now, std::mt19937_64& random_engine)
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
        this->finish_request(state.platform, success, this->platform_backoff_limit(service, state), now, random_engine);
        if (state.current_phase == phase::querying_platform && success)
        {
            this->finish_startup(state, now, random_engine);
        }
        return;
    }
    if (state.queried_peers.erase(source.peer) > 0 && state.queried_peers.empty() &&
        state.current_phase == phase::querying_peers)
    {
        this->finish_startup(state, now, random_engine);
        return;
    }
    if (state.pull.timeout && source.peer == state.pulled_peer)
    {
        // A response without the announced version counts as a failure, so that the peer is not queried again at once.
        const auto peer = std::ranges::find(state.members, source.peer, &peer_version::id);
        const bool is_up_to_date = peer == state.members.end() || peer->version <= this->version_of(service);
        this->finish_request(state.pull, success && is_up_to_date, this->active_settings.backoff_limit, now,
                             random_engine);
    }
}

std::vector<follower_action> follower::tick(core::time_point now, std::mt19937_64& random_engine)
{
    std::vector<follower_action> actions;
    for (auto& [service, state] : this->services)
    {
        this->expire_requests(service, state, now, random_engine);
        switch (state.current_phase)
        {
        case phase::querying_peers:
            this->query_peers(service, state, now, random_engine, actions);
            break;
        case phase::querying_platform:
            this->query_platform(service, state, now, actions);
            this->pull_when_behind(service, state, now, random_engine, actions);
            break;
        case phase::following:
            this->update_watch(service, state, now, actions);
            this->pull_when_behind(service, state, now, random_engine, actions);
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
    return found != this->services.end() && found->second.held_document ? &*found->second.held_document : nullptr;
}

core::version follower::version_of(const std::string& service) const
{
    const auto* held_document = this->find(service);
    return held_document == nullptr ? 0 : held_document->version;
}

source_counters& follower::counters_of(const document_source& source)
{
    const bool has_separate_counters =
        this->by_source.contains(source) || this->by_source.size() < this->active_settings.counted_sources;
    return this->by_source[has_separate_counters ? source : document_source{std::string{other_sources}}];
}

void follower::expire_requests(const std::string& service, service_state& state, core::time_point now,
                               std::mt19937_64& random_engine)
{
    if (state.platform.timeout && now >= *state.platform.timeout)
    {
        state.watching = false;
        this->finish_request(state.platform, false, this->platform_backoff_limit(service, state), now, random_engine);
    }
    if (state.pull.timeout && now >= *state.pull.timeout)
    {
        this->finish_request(state.pull, false, this->active_settings.backoff_limit, now, random_engine);
    }
    const auto expired = std::erase_if(state.queried_peers, [now](const auto& each) { return now >= each.second; });
    if (expired > 0 && state.queried_peers.empty() && state.current_phase == phase::querying_peers)
    {
        this->finish_startup(state, now, random_engine);
    }
    std::erase_if(state.avoided_until, [now](const auto& each) { return now >= each.second; });
}

void follower::query_peers(const std::string& service, service_state& state, core::time_point now,
                           std::mt19937_64& random_engine, std::vector<follower_action>& actions)
{
    if (!state.queried_peers.empty() || now < state.pull.next_start)
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
        if (now >= state.startup_deadline)
        {
            this->finish_startup(state, now, random_engine);
            this->query_platform(service, state, now, actions);
        }
        return;
    }
    std::ranges::shuffle(peers, random_engine);
    peers.resize(std::min(peers.size(), this->active_settings.start_peers));
    for (const core::node_id& peer : peers)
    {
        state.queried_peers[peer] = now + this->active_settings.request_timeout;
        actions.emplace_back(pull_peer{service, peer, this->version_of(service)});
    }
}

void follower::query_platform(const std::string& service, service_state& state, core::time_point now,
                              std::vector<follower_action>& actions)
{
    if (state.held_document)
    {
        // A peer served the document before the platform responded.
        state.current_phase = phase::following;
        return;
    }
    if (state.platform.timeout || now < state.platform.next_start)
    {
        return;
    }
    state.platform.timeout = now + this->active_settings.request_timeout;
    actions.emplace_back(read_platform{service});
}

void follower::update_watch(const std::string& service, service_state& state, core::time_point now,
                            std::vector<follower_action>& actions)
{
    const bool is_watcher = must_watch(service, this->local_id, state.members, this->active_settings.watchers);
    if (!is_watcher && state.watching)
    {
        state.watching = false;
        state.platform.timeout.reset();
        actions.emplace_back(stop_watch{service});
        return;
    }
    if (!is_watcher || state.platform.timeout || now < state.platform.next_start)
    {
        return;
    }
    state.watching = true;
    state.platform.timeout = now + this->active_settings.watch_timeout;
    // A rejected document is not requested again; the next version may be valid.
    const auto after = std::max(state.rejected_version, state.held_document ? state.held_document->version : 0);
    actions.emplace_back(watch_platform{service, after});
}

void follower::pull_when_behind(const std::string& service, service_state& state, core::time_point now,
                                std::mt19937_64& random_engine, std::vector<follower_action>& actions)
{
    if (state.pull.timeout || now < state.pull.next_start)
    {
        return;
    }
    auto peers = this->peers_ahead(state, now);
    if (peers.empty())
    {
        return;
    }
    std::ranges::shuffle(peers, random_engine);
    state.pulled_peer = peers.front();
    state.pull.timeout = now + this->active_settings.request_timeout;
    actions.emplace_back(pull_peer{service, state.pulled_peer, this->version_of(service)});
}

std::vector<core::node_id> follower::peers_ahead(const service_state& state, core::time_point now) const
{
    const auto held_version = state.held_document ? state.held_document->version : 0;
    std::vector<core::node_id> peers;
    for (const peer_version& each : state.members)
    {
        const auto avoided = state.avoided_until.find(each.id);
        const bool usable = avoided == state.avoided_until.end() || now >= avoided->second;
        if (each.id != this->local_id && each.version > held_version && usable)
        {
            peers.push_back(each.id);
        }
    }
    return peers;
}

void follower::finish_request(request_state& request, bool success, core::duration limit, core::time_point now,
                              std::mt19937_64& random_engine) const
{
    request.timeout.reset();
    if (success)
    {
        request.failures = 0;
        request.next_start = now;
        return;
    }
    constexpr std::size_t max_shift = 16;
    const auto shift = std::min(request.failures, max_shift);
    const auto max_delay = std::min(this->active_settings.backoff * (std::int64_t{1} << shift), limit);
    ++request.failures;
    request.next_start = now + max_delay / 2 + core::random_duration(max_delay / 2, random_engine);
}

core::duration follower::platform_backoff_limit(const std::string& service, const service_state& state) const
{
    // Until a node holds a document, its list of members may contain only itself, so it does not count as the first
    // watcher.
    const bool is_first =
        state.current_phase == phase::following && must_watch(service, this->local_id, state.members, 1);
    return is_first ? this->active_settings.first_watcher_backoff_limit : this->active_settings.backoff_limit;
}

void follower::finish_startup(service_state& state, core::time_point now, std::mt19937_64& random_engine) const
{
    state.queried_peers.clear();
    if (state.held_document || state.current_phase == phase::querying_platform)
    {
        state.current_phase = phase::following;
        return;
    }
    state.current_phase = phase::querying_platform;
    state.platform.next_start = now + core::random_duration(this->active_settings.jitter, random_engine);
}

void follower::delay_pull(service_state& state, bool was_behind, core::time_point now,
                          std::mt19937_64& random_engine) const
{
    // All members receive a new version number at about the same time; the delay spreads their pulls.
    if (!was_behind && this->is_behind(state))
    {
        state.pull.next_start =
            std::max(state.pull.next_start, now + core::random_duration(this->active_settings.jitter, random_engine));
    }
}

bool follower::is_behind(const service_state& state) const
{
    return !this->peers_ahead(state, core::time_point::max()).empty();
}

std::optional<core::time_point> follower::wakeup_of(const std::string& service, const service_state& state) const
{
    std::optional<core::time_point> next;
    const auto consider = [&next](std::optional<core::time_point> candidate)
    {
        next = next && candidate ? std::min(*next, *candidate) : (next ? next : candidate);
    };
    if (state.current_phase == phase::querying_peers)
    {
        for (const auto& [peer, timeout] : state.queried_peers)
        {
            consider(timeout);
        }
        const bool is_alone = must_watch(service, this->local_id, state.members, 1) && state.members.size() == 1;
        const bool no_peers = state.members.empty() || is_alone;
        consider(next ? next : (no_peers ? state.startup_deadline : state.pull.next_start));
        return next;
    }
    const bool needs_platform = state.current_phase == phase::querying_platform ||
                                must_watch(service, this->local_id, state.members, this->active_settings.watchers);
    if (needs_platform || state.platform.timeout)
    {
        consider(state.platform.timeout.value_or(state.platform.next_start));
    }
    consider(state.pull.timeout ? state.pull.timeout : this->pull_wakeup(state));
    return next;
}

std::optional<core::time_point> follower::pull_wakeup(const service_state& state) const
{
    std::optional<core::time_point> next;
    for (const core::node_id& peer : this->peers_ahead(state, core::time_point::max()))
    {
        const auto avoided = state.avoided_until.find(peer);
        const auto usable = avoided == state.avoided_until.end() ? state.pull.next_start : avoided->second;
        const auto start = std::max(usable, state.pull.next_start);
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
    this->check_document = std::move(function);
    return *this;
}

follower::builder& follower::builder::older_copy(copy_function function)
{
    this->copy_check = std::move(function);
    return *this;
}

follower::builder& follower::builder::settings(const follower_settings& new_settings)
{
    this->active_settings = new_settings;
    return *this;
}

follower follower::builder::build() const
{
    return {this->local_id, this->check_document, this->copy_check, this->active_settings};
}

} // namespace poplarport::configuration
