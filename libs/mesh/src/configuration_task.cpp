#include "poplarport/mesh/configuration_task.hpp"

#include <algorithm>  // max, min, ranges::sort
#include <chrono>     // milliseconds, seconds
#include <functional> // greater
#include <utility>    // exchange, move, pair

#include "poplarport/core/jitter.hpp"
#include "poplarport/membership/rendezvous.hpp"
#include "poplarport/mesh/errors.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::mesh
{

namespace
{

constexpr const char* rank_key = "configuration";

// Number of nodes that watch the store.
constexpr std::size_t watcher_count = 6;

// Maximum number of nodes that replace watchers which cannot reach the store. Without a limit, all nodes would call a
// store that is down.
constexpr std::size_t max_replacements = 12;

// A single lost response is no reason to replace a watcher.
constexpr int failures_until_replaced = 2;

} // namespace

configuration_task::configuration_task(net::event_loop& owner, core::node_id id, std::string zone, std::string key,
                                       bool is_first_start, const adapter& installation_adapter,
                                       std::mt19937_64& random_engine, hooks node_hooks)
    : loop(&owner), self(std::move(id)), local_weight(membership::rendezvous_weight(rank_key, this->self)),
      availability_zone(std::move(zone)), cluster_key(std::move(key)), platform_adapter(&installation_adapter),
      random(&random_engine), events(std::move(node_hooks)),
      watching(configuration::watch_settings{.is_first_start = is_first_start}, owner.now(), random_engine),
      may_watch(is_first_start), store_wakeup(owner, [this] { this->run_step(); }),
      pull_wakeup(owner, [this] { this->pull(); })
{
    this->platform_adapter->objects->on_restored(
        [this, still_alive = this->alive]
        {
            if (*still_alive)
            {
                this->handle_restored();
            }
        });
    this->schedule();
}

configuration_task::~configuration_task()
{
    *this->alive = false;
}

void configuration_task::update_member(const membership::member& member)
{
    if (member.id == this->self)
    {
        return;
    }
    const auto [position, is_new] = this->peers.try_emplace(member.id);
    auto& peer = position->second;
    const bool is_suspect = member.state == membership::member_state::suspect;
    const bool may_change_ranks = is_new || peer.reaches_store != member.reaches_store || peer.is_suspect != is_suspect;
    if (is_new)
    {
        peer.weight = membership::rendezvous_weight(rank_key, member.id);
    }
    peer.availability_zone = member.availability_zone;
    peer.version = member.configuration_version;
    peer.reaches_store = member.reaches_store;
    peer.is_suspect = is_suspect;
    this->expect_version(member.id, peer.version);
    if (may_change_ranks)
    {
        this->watching.on_members_changed(true, this->loop->now());
        this->schedule();
    }
}

void configuration_task::remove_member(const core::node_id& id)
{
    if (this->peers.erase(id) > 0)
    {
        this->watching.on_members_changed(!this->peers.empty(), this->loop->now());
        this->schedule();
    }
}

bool configuration_task::update_watch_rank()
{
    std::size_t higher_ranked = 0;
    std::size_t live_watchers = 0;
    for (const auto& [id, peer] : this->peers)
    {
        // A suspect member has probably failed; it is declared dead only seconds later.
        if (peer.is_suspect)
        {
            continue;
        }
        if (peer.weight > this->local_weight)
        {
            ++higher_ranked;
            live_watchers += peer.reaches_store ? 1 : 0;
        }
    }
    this->watch_position = std::min(live_watchers, watcher_count - 1);
    const bool has_rank = live_watchers < watcher_count && higher_ranked < watcher_count + max_replacements;
    if (std::exchange(this->has_watch_rank, has_rank) != has_rank)
    {
        observability::log_record{has_rank ? "configuration_watch_rank_gained" : "configuration_watch_rank_lost"}
            .with("higher_ranked", static_cast<std::int64_t>(higher_ranked))
            .with("live_watchers", static_cast<std::int64_t>(live_watchers))
            .with("held_version", static_cast<std::int64_t>(this->document.version))
            .write(observability::log_level::info);
    }
    return has_rank;
}

watch_rank configuration_task::current_rank()
{
    const bool has_rank = this->update_watch_rank();
    return {has_rank, this->watch_position};
}

std::vector<core::node_id> configuration_task::higher_ranked_members() const
{
    std::vector<std::pair<std::uint64_t, core::node_id>> ranked;
    for (const auto& [id, peer] : this->peers)
    {
        if (peer.weight > this->local_weight && !peer.is_suspect)
        {
            ranked.emplace_back(peer.weight, id);
        }
    }
    std::ranges::sort(ranked, std::greater{});
    ranked.resize(std::min(ranked.size(), watcher_count + max_replacements));
    std::vector<core::node_id> result;
    result.reserve(ranked.size());
    for (auto& each : ranked)
    {
        result.push_back(std::move(each.second));
    }
    return result;
}

// A restarted node does not watch the store before it has settled; until then the others must not count on it.
void configuration_task::announce_watch()
{
    if (this->may_watch || this->loop->now() < this->watching.reliable_from())
    {
        return;
    }
    this->may_watch = true;
    if (this->failures < failures_until_replaced)
    {
        this->events.on_store_reached(true);
    }
}

void configuration_task::run_step()
{
    this->announce_watch();
    const bool has_configuration = this->document.version != 0;
    const bool has_rank = this->update_watch_rank();
    if (this->watching.take_lead(this->watch_position, this->loop->now()))
    {
        ++this->last_watch;
        observability::log_record{"configuration_watch_lead_taken"}
            .with("held_version", static_cast<std::int64_t>(this->document.version))
            .write(observability::log_level::info);
    }
    const auto step = this->watching.tick(has_rank, has_configuration, this->loop->now());
    if (step != configuration::watch_step::none)
    {
        this->step_started_at = this->loop->now();
    }
    switch (step)
    {
    case configuration::watch_step::read_lagging:
        this->list(store::consistency::may_lag);
        break;
    case configuration::watch_step::read_latest:
        this->list(store::consistency::latest);
        break;
    case configuration::watch_step::watch:
        this->watch();
        break;
    case configuration::watch_step::none:
        break;
    }
    this->schedule();
}

void configuration_task::schedule()
{
    auto next = this->watching.next_wakeup();
    if (!this->may_watch)
    {
        next = std::min(next, this->watching.reliable_from());
    }
    if (next == core::time_point::max())
    {
        this->store_wakeup.cancel();
        return;
    }
    this->store_wakeup.schedule(std::max(next - this->loop->now(), core::duration::zero()));
}

void configuration_task::list(store::consistency wanted)
{
    this->platform_adapter->objects->list(
        this->platform_adapter->configuration_kind, wanted,
        [this, still_alive = this->alive](const store::outcome<store::listing>& result)
        {
            if (*still_alive)
            {
                this->handle_list(result);
                this->schedule();
            }
        });
}

void configuration_task::handle_list(const store::outcome<store::listing>& result)
{
    if (!result.value)
    {
        this->handle_failure(result.error);
        return;
    }
    this->handle_success();
    this->listed_at = store::later(this->listed_at, result.value->at);
    this->watching.on_read(this->loop->now(), *this->random);
    this->accept_objects(*result.value);
}

void configuration_task::accept_objects(const store::listing& listed)
{
    for (const auto& each : listed.objects)
    {
        if (each.name == this->platform_adapter->configuration_name)
        {
            this->accept_document(each.spec, "store");
        }
    }
}

void configuration_task::watch()
{
    this->platform_adapter->objects->watch(
        this->platform_adapter->configuration_kind, this->listed_at, this->watching.watch_wait(this->watch_position),
        [this, number = ++this->last_watch, still_alive = this->alive](const store::outcome<store::change_list>& result)
        {
            if (*still_alive && number == this->last_watch)
            {
                this->handle_changes(result);
                this->schedule();
            }
        });
}

void configuration_task::handle_changes(const store::outcome<store::change_list>& result)
{
    if (!result.value)
    {
        this->handle_failure(result.error);
        return;
    }
    this->handle_success();
    if (result.value->may_be_partial)
    {
        this->watching.on_partly_watched(this->loop->now());
    }
    else
    {
        this->watching.on_watched(!result.value->changes.empty(), this->loop->now());
    }
    this->listed_at = store::later(this->listed_at, result.value->at);
    for (const auto& each : result.value->changes)
    {
        if (each.after.name == this->platform_adapter->configuration_name && !each.removed)
        {
            this->accept_document(each.after.spec, "store");
        }
    }
}

// Versions decide which configuration is newer, so that a copy from before replaces nothing. Watchers read it for what
// was written since; the other members learn of that from them.
void configuration_task::handle_restored()
{
    observability::log_record{"store_restored"}
        .with("era", static_cast<std::int64_t>(this->platform_adapter->objects->current_era()))
        .with("read_era", static_cast<std::int64_t>(this->listed_at.in_era))
        .with("read_revision", static_cast<std::int64_t>(this->listed_at.number))
        .with("held_version", static_cast<std::int64_t>(this->document.version))
        .write(observability::log_level::warning);
    this->listed_at = {};
    ++this->last_watch;
    this->watching.on_restored(this->loop->now(), *this->random);
    this->schedule();
}

void configuration_task::handle_success()
{
    if (std::exchange(this->failures, 0) >= failures_until_replaced)
    {
        observability::log_record{"configuration_store_reached"}
            .with("held_version", static_cast<std::int64_t>(this->document.version))
            .write(observability::log_level::info);
        this->events.on_store_reached(this->may_watch);
    }
}

void configuration_task::count_failure(std::error_code error)
{
    const auto failures_before = this->failures++;
    const bool was_watching = this->watching.step_in_progress() == configuration::watch_step::watch;
    if (was_watching && error == store::errc::timed_out)
    {
        // The watch may have been silent since its start, so that no second failure is awaited.
        this->watching.on_no_response(this->loop->now());
        this->failures = std::max(this->failures, failures_until_replaced);
    }
    else if (was_watching && error != store::errc::refused)
    {
        // The store may have come back from an older copy meanwhile, or respond with more than is accepted.
        this->watching.on_unusable_response(this->loop->now(), *this->random);
    }
    else
    {
        this->watching.on_failed(this->loop->now(), *this->random);
    }
    if (failures_before < failures_until_replaced && this->failures >= failures_until_replaced)
    {
        this->events.on_store_reached(false);
    }
}

void configuration_task::handle_failure(std::error_code error)
{
    const auto step = this->watching.step_in_progress();
    if (error == store::errc::history_lost)
    {
        this->watching.on_history_lost(this->loop->now());
    }
    else
    {
        this->count_failure(error);
    }
    observability::log_record{"configuration_store_failed"}
        .with("step", to_string(step))
        .with("took_us", this->loop->now() - this->step_started_at)
        .with("code", error.value())
        .with("reason", error.message())
        .with("held_version", static_cast<std::int64_t>(this->document.version))
        .write(observability::log_level::warning);
}

bool configuration_task::accept_document(const std::string& text, std::string_view source)
{
    std::string fault;
    auto value = this->platform_adapter->read_configuration(text, fault);
    if (!value)
    {
        observability::log_record{"configuration_rejected"}
            .with("code", make_error_code(errc::malformed_configuration).value())
            .with("reason", fault)
            .with("source", source)
            .write(observability::log_level::error);
        return false;
    }
    if (value->version <= this->document.version)
    {
        return false;
    }
    this->document.version = value->version;
    this->document.content = value->has_tenants ? this->platform_adapter->remove_keys(text) : text;
    this->encoded_documents.clear();
    const auto table = std::make_shared<const routes::route_table>(std::move(*value));
    observability::log_record{"configuration_applied"}
        .with("version", static_cast<std::int64_t>(table->version()))
        .with("routes", static_cast<std::int64_t>(table->source().routes.size()))
        .with("bytes", static_cast<std::int64_t>(text.size()))
        .with("source", source)
        .write(observability::log_level::info);
    this->events.on_route_table(table);
    return true;
}

} // namespace poplarport::mesh
