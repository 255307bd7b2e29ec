#include "poplarport/mesh/configuration_task.hpp"

#include <algorithm> // max, min, ranges::any_of
#include <chrono>    // milliseconds, seconds
#include <utility>   // move

#include "poplarport/membership/jitter.hpp"
#include "poplarport/membership/rendezvous.hpp"
#include "poplarport/mesh/errors.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::mesh
{

namespace
{

// Number of nodes that watch the store.
constexpr std::size_t watcher_count = 6;

// Maximum number of nodes that replace watchers which cannot reach the store. Without a limit, all nodes would call a
// store that is down.
constexpr std::size_t max_replacements = 12;

// A single lost response is no reason to replace a watcher.
constexpr int failures_until_replaced = 2;

// Duration of a watch, which costs one call; the store ends it earlier when there is a change.
constexpr std::chrono::seconds watch_wait{20};

constexpr std::chrono::milliseconds initial_backoff{100};
constexpr std::chrono::milliseconds max_backoff{1000};

// Time for which a watcher waits for the store's response before it pulls the version from a member that has it.
constexpr std::chrono::milliseconds pull_delay{150};
constexpr std::chrono::milliseconds pull_retry_delay{200};

// A pull over a silent connection ends only after a second; a call to the store, or a pull from another member, starts
// after this time.
constexpr std::chrono::milliseconds next_pull_delay{300};
constexpr int max_concurrent_pulls = 3;

} // namespace

configuration_task::configuration_task(net::event_loop& owner, core::node_id id, std::string zone, std::string key,
                                       const adapter& installation_adapter, std::mt19937_64& random_engine,
                                       hooks node_hooks)
    : self(std::move(id)), availability_zone(std::move(zone)), cluster_key(std::move(key)),
      platform_adapter(&installation_adapter), random(&random_engine), events(std::move(node_hooks)),
      backoff(initial_backoff), store_wakeup(owner,
                                             [this]
                                             {
                                                 if (this->listed_at)
                                                 {
                                                     this->watch();
                                                     return;
                                                 }
                                                 this->list();
                                             }),
      pull_wakeup(owner, [this] { this->pull(); })
{
}

configuration_task::~configuration_task()
{
    *this->alive = false;
}

void configuration_task::start()
{
    this->list();
}

void configuration_task::set_members(const std::vector<membership::member>& live_members)
{
    this->members = live_members;
    const bool is_behind = std::ranges::any_of(this->members, [this](const membership::member& each)
                                               { return each.configuration_version > this->document.version; });
    if (is_behind && !this->pull_wakeup.is_scheduled() && this->pulls == 0)
    {
        const bool expects_store_response =
            this->store_call_in_progress && this->listed_at && this->document.version != 0;
        this->pull_wakeup.schedule(expects_store_response ? pull_delay : std::chrono::milliseconds{0});
    }
    if (!this->store_call_in_progress && !this->store_wakeup.is_scheduled() && this->watches())
    {
        this->store_wakeup.schedule(std::chrono::milliseconds{0});
    }
}

bool configuration_task::watches() const
{
    const auto local_weight = membership::rendezvous_weight("configuration", this->self);
    std::size_t higher_ranked = 0;
    std::size_t live_watchers = 0;
    for (const auto& each : this->members)
    {
        if (each.id != this->self && membership::rendezvous_weight("configuration", each.id) > local_weight)
        {
            ++higher_ranked;
            live_watchers += each.reaches_store ? 1 : 0;
        }
    }
    return live_watchers < watcher_count && higher_ranked < watcher_count + max_replacements;
}

void configuration_task::list()
{
    if (std::exchange(this->store_call_in_progress, true))
    {
        return;
    }
    this->platform_adapter->objects->list(
        this->platform_adapter->configuration_kind,
        [this, still_alive = this->alive](const store::outcome<store::listing>& result)
        {
            if (*still_alive)
            {
                this->store_call_in_progress = false;
                this->handle_list(result);
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
    this->listed_at = result.value->at;
    for (const auto& each : result.value->objects)
    {
        if (each.name == this->platform_adapter->configuration_name)
        {
            this->accept_document(each.spec, "store");
        }
    }
    if (this->watches())
    {
        this->watch();
    }
}

void configuration_task::watch()
{
    if (std::exchange(this->store_call_in_progress, true))
    {
        return;
    }
    const auto wait = membership::jittered_interval(watch_wait, *this->random);
    this->platform_adapter->objects->watch(
        this->platform_adapter->configuration_kind, *this->listed_at, wait,
        [this, still_alive = this->alive](const store::outcome<store::change_list>& result)
        {
            if (*still_alive)
            {
                this->store_call_in_progress = false;
                this->handle_changes(result);
            }
        });
}

void configuration_task::handle_changes(const store::outcome<store::change_list>& result)
{
    if (!result.value)
    {
        if (result.error == store::errc::history_lost)
        {
            this->listed_at.reset();
        }
        this->handle_failure(result.error);
        return;
    }
    this->handle_success();
    this->listed_at = std::max(*this->listed_at, result.value->at);
    for (const auto& each : result.value->changes)
    {
        if (each.after.name == this->platform_adapter->configuration_name && !each.removed)
        {
            this->accept_document(each.after.spec, "store");
        }
    }
    if (this->watches())
    {
        this->watch();
    }
}

void configuration_task::handle_success()
{
    this->backoff = initial_backoff;
    if (std::exchange(this->failures, 0) >= failures_until_replaced)
    {
        observability::log_record{"configuration_store_reached"}
            .with("held_version", static_cast<std::int64_t>(this->document.version))
            .write(observability::log_level::info);
        this->events.on_store_reached(true);
    }
}

void configuration_task::handle_failure(std::error_code error)
{
    observability::log_record{"configuration_store_failed"}
        .with("code", error.value())
        .with("reason", error.message())
        .with("held_version", static_cast<std::int64_t>(this->document.version))
        .with("retry_ms", std::chrono::duration_cast<std::chrono::milliseconds>(this->backoff).count())
        .write(observability::log_level::warning);
    const bool lost_history = error == store::errc::history_lost;
    if (!lost_history && ++this->failures == failures_until_replaced)
    {
        this->events.on_store_reached(false);
    }
    this->store_wakeup.schedule(lost_history ? core::duration{0}
                                             : membership::jittered_interval(this->backoff, *this->random));
    this->backoff = std::min<core::duration>(this->backoff * 2, max_backoff);
}

void configuration_task::accept_document(const std::string& text, std::string_view source)
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
        return;
    }
    if (value->version <= this->document.version)
    {
        return;
    }
    this->document.version = value->version;
    this->document.content = text;
    const auto table = std::make_shared<const routes::route_table>(std::move(*value));
    observability::log_record{"configuration_applied"}
        .with("version", static_cast<std::int64_t>(table->version()))
        .with("routes", static_cast<std::int64_t>(table->source().routes.size()))
        .with("source", source)
        .write(observability::log_level::info);
    this->events.on_route_table(table);
}

void configuration_task::pull()
{
    const auto newer = this->newer_members();
    if (newer.empty())
    {
        return;
    }
    if (this->pulls > 0)
    {
        // Does nothing while a watch is open, which reports the change itself.
        this->list();
    }
    if (this->pulls < max_concurrent_pulls)
    {
        this->pull_from(newer[(*this->random)() % newer.size()]);
    }
}

std::vector<core::node_id> configuration_task::newer_members() const
{
    std::vector<core::node_id> same_zone;
    std::vector<core::node_id> other_zones;
    for (const auto& each : this->members)
    {
        if (each.configuration_version > this->document.version)
        {
            auto& list = each.availability_zone == this->availability_zone ? same_zone : other_zones;
            list.push_back(each.id);
        }
    }
    // A pull within the zone is free of charge. A second concurrent pull may use any zone, in case the local one is
    // partitioned.
    const bool prefers_same_zone = !same_zone.empty() && this->pulls == 0;
    if (!prefers_same_zone)
    {
        same_zone.insert(same_zone.end(), other_zones.begin(), other_zones.end());
    }
    return same_zone;
}

void configuration_task::pull_from(const core::node_id& id)
{
    auto* const link = this->events.link_of(id);
    if (link == nullptr)
    {
        this->pull_wakeup.schedule(pull_retry_delay);
        return;
    }
    ++this->pulls;
    this->pull_wakeup.schedule(next_pull_delay);
    node::detail::pull_document(*link, this->cluster_key,
                                "/.poplar/config/mesh?above=" + std::to_string(this->document.version),
                                [this, id, still_alive = this->alive](const node::detail::pull_result& result)
                                {
                                    if (!*still_alive)
                                    {
                                        return;
                                    }
                                    --this->pulls;
                                    if (result.document)
                                    {
                                        this->accept_document(result.document->content, id);
                                    }
                                    this->pull_wakeup.schedule(pull_retry_delay);
                                });
}

node::peer_document configuration_task::respond_to_pull(core::version above) const
{
    return node::detail::make_document_response(this->document.version == 0 ? nullptr : &this->document, above);
}

} // namespace poplarport::mesh
