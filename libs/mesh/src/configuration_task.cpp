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

// Nodes that watch the store.
constexpr std::size_t watcher_count = 6;

// Nodes that may replace watchers whom the store does not answer, at most. All nodes would call a store that is down.
constexpr std::size_t greatest_replacements = 12;

// A single lost answer is no reason to be replaced.
constexpr int failures_until_replaced = 2;

// Each watch costs one call; the store ends it earlier when there is a change.
constexpr std::chrono::seconds watch_wait{20};

constexpr std::chrono::milliseconds initial_backoff{100};
constexpr std::chrono::milliseconds max_backoff{1000};

// A watcher waits this long for the store's own answer before it asks a member that already has the version.
constexpr std::chrono::milliseconds pull_delay{150};
constexpr std::chrono::milliseconds pull_retry{200};

// A pull over a connection that has gone silent ends after a second; the store, or another member, is asked earlier.
constexpr std::chrono::milliseconds pull_patience{300};
constexpr int greatest_pulls = 3;

} // namespace

configuration_task::configuration_task(net::event_loop& owner, core::node_id name, std::string zone, std::string key,
                                       const adapter& installation, std::mt19937_64& engine, hooks values)
    : self(std::move(name)), availability_zone(std::move(zone)), cluster_key(std::move(key)), site(&installation),
      random(&engine), events(std::move(values)), backoff(initial_backoff), store_wakeup(owner,
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

void configuration_task::set_members(const std::vector<membership::member>& values)
{
    this->members = values;
    const bool is_behind = std::ranges::any_of(this->members, [this](const membership::member& each)
                                               { return each.configuration_version > this->held.version; });
    if (is_behind && !this->pull_wakeup.is_scheduled() && this->pulls == 0)
    {
        const bool expects_it = this->calling && this->listed_at && this->held.version != 0;
        this->pull_wakeup.schedule(expects_it ? pull_delay : std::chrono::milliseconds{0});
    }
    if (!this->calling && !this->store_wakeup.is_scheduled() && this->watches())
    {
        this->store_wakeup.schedule(std::chrono::milliseconds{0});
    }
}

bool configuration_task::watches() const
{
    const auto own_weight = membership::rendezvous_weight("configuration", this->self);
    std::size_t ahead = 0;
    std::size_t watching = 0;
    for (const auto& each : this->members)
    {
        if (each.id != this->self && membership::rendezvous_weight("configuration", each.id) > own_weight)
        {
            ++ahead;
            watching += each.reaches_store ? 1 : 0;
        }
    }
    return watching < watcher_count && ahead < watcher_count + greatest_replacements;
}

void configuration_task::list()
{
    if (std::exchange(this->calling, true))
    {
        return;
    }
    this->site->objects->list(this->site->configuration_kind,
                              [this, still_alive = this->alive](const store::outcome<store::listing>& result)
                              {
                                  if (*still_alive)
                                  {
                                      this->calling = false;
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
        if (each.name == this->site->configuration_name)
        {
            this->take(each.spec, "store");
        }
    }
    if (this->watches())
    {
        this->watch();
    }
}

void configuration_task::watch()
{
    if (std::exchange(this->calling, true))
    {
        return;
    }
    const auto wait = membership::jittered_interval(watch_wait, *this->random);
    this->site->objects->watch(this->site->configuration_kind, *this->listed_at, wait,
                               [this, still_alive = this->alive](const store::outcome<store::change_list>& result)
                               {
                                   if (*still_alive)
                                   {
                                       this->calling = false;
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
        if (each.after.name == this->site->configuration_name && !each.removed)
        {
            this->take(each.after.spec, "store");
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
            .with("held_version", static_cast<std::int64_t>(this->held.version))
            .write(observability::log_level::info);
        this->events.on_store_reached(true);
    }
}

void configuration_task::handle_failure(std::error_code error)
{
    observability::log_record{"configuration_store_failed"}
        .with("code", error.value())
        .with("reason", error.message())
        .with("held_version", static_cast<std::int64_t>(this->held.version))
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

void configuration_task::take(const std::string& text, std::string_view source)
{
    std::string fault;
    auto value = this->site->read_configuration(text, fault);
    if (!value)
    {
        observability::log_record{"configuration_rejected"}
            .with("code", make_error_code(errc::malformed_configuration).value())
            .with("reason", fault)
            .with("source", source)
            .write(observability::log_level::error);
        return;
    }
    if (value->version <= this->held.version)
    {
        return;
    }
    this->held.version = value->version;
    this->held.content = text;
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
        // Does nothing where a watch is open, which tells the change itself.
        this->list();
    }
    if (this->pulls < greatest_pulls)
    {
        this->pull_from(newer[(*this->random)() % newer.size()]);
    }
}

std::vector<core::node_id> configuration_task::newer_members() const
{
    std::vector<core::node_id> near;
    std::vector<core::node_id> far;
    for (const auto& each : this->members)
    {
        if (each.configuration_version > this->held.version)
        {
            auto& side = each.availability_zone == this->availability_zone ? near : far;
            side.push_back(each.id);
        }
    }
    // A pull within the zone is free. The second pull at the same time may go anywhere, in case the zone is cut off.
    const bool prefers_near = !near.empty() && this->pulls == 0;
    if (!prefers_near)
    {
        near.insert(near.end(), far.begin(), far.end());
    }
    return near;
}

void configuration_task::pull_from(const core::node_id& id)
{
    auto* const link = this->events.link_of(id);
    if (link == nullptr)
    {
        this->pull_wakeup.schedule(pull_retry);
        return;
    }
    ++this->pulls;
    this->pull_wakeup.schedule(pull_patience);
    node::detail::pull_document(*link, this->cluster_key,
                                "/.poplar/config/mesh?above=" + std::to_string(this->held.version),
                                [this, id, still_alive = this->alive](const node::detail::pull_result& result)
                                {
                                    if (!*still_alive)
                                    {
                                        return;
                                    }
                                    --this->pulls;
                                    if (result.document)
                                    {
                                        this->take(result.document->content, id);
                                    }
                                    this->pull_wakeup.schedule(pull_retry);
                                });
}

node::peer_document configuration_task::respond_to_pull(core::version above) const
{
    return node::detail::make_document_response(this->held.version == 0 ? nullptr : &this->held, above);
}

} // namespace poplarport::mesh
