#include "poplarport/mesh/mesh_node.hpp"

#include <chrono>      // milliseconds, seconds
#include <string_view> // string_view
#include <utility>     // exchange, move

#include "poplarport/mesh/detail/mesh_state.hpp"
#include "poplarport/node/detail/document_pull.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::mesh
{

namespace
{

constexpr const char* group_name = "mesh";
constexpr std::string_view config_path = "/.poplar/config/mesh";

constexpr std::chrono::milliseconds drain_check_interval{20};

// Callers stop using a node after two consecutive checks that report it as not ready; until then they open connections.
constexpr int unready_threshold = 2;
constexpr std::chrono::milliseconds max_unready_wait{2500};

// Time for the membership messages about the end of the node to be sent.
constexpr std::chrono::milliseconds leave_delay{50};

// A stop completes this long before its limit, because the process still has to exit.
constexpr std::chrono::milliseconds exit_reserve{400};

// Maximum wait for the store to write a deregistration. Other nodes hold it too, and an upstream without an
// acknowledgement within a second sends its request to another node.
constexpr std::chrono::milliseconds deregistration_wait{400};

// Traffic between zones costs more than the wait that a nearly full upstream causes.
constexpr double zone_preference = 0.8;

membership::detector_settings detector_settings()
{
    membership::detector_settings settings;
    // All nodes of an installation start together and need each other within a second.
    settings.start_jitter = std::chrono::milliseconds{100};
    // A new version of the configuration reaches all nodes within a second.
    settings.gossip_interval = std::chrono::milliseconds{100};
    settings.ended_retention = std::chrono::minutes{10};
    // A member misses all n copies of a gossip update with probability e^-n, here n is 5 to 10; probes and full lists
    // cover these cases.
    settings.retransmit_multiplier = 1.4;
    return settings;
}

membership::member make_member(const mesh_settings& settings)
{
    membership::member self;
    self.id = settings.id;
    self.incarnation = node::make_incarnation();
    self.availability_zone = settings.availability_zone;
    self.peer_address = settings.listen.peers;
    self.http_address = settings.listen.callers;
    self.service = settings.service;
    self.accepting = false;
    self.reaches_store = settings.is_first_start;
    return self;
}

} // namespace

mesh_node::state::state(net::event_loop& owner, const mesh_settings& node_settings, adapter installation_adapter,
                        std::function<void()> stopped_hook)
    : loop(&owner), settings(node_settings), platform_adapter(std::move(installation_adapter)),
      on_stopped(std::move(stopped_hook)),
      identity(node::make_identity(node_settings.id, node_settings.availability_zone, node_settings.cluster_secret)),
      random(std::random_device{}()), drain_timer(owner, [this] { this->check_drained(); })
{
    this->connect_upstream();
    this->connect_peers();
    this->connect_store();
    this->connect_callers();
    this->add_gauges();
    if (this->settings.watches_evacuations)
    {
        this->watch_evacuations();
    }
    this->update_member(this->gossip->detector().self());
}

void mesh_node::state::connect_upstream()
{
    upstream_task::hooks hooks;
    hooks.on_accepting = [this](bool accepting)
    {
        this->gossip->update([accepting](membership::detector& detector, core::time_point now)
                             { detector.set_accepting(accepting, now); });
        this->update_member(this->gossip->detector().self());
    };
    hooks.on_deregistered = [this](const std::string& instance, std::function<void()> done)
    {
        this->on_deregistered(instance, std::move(done));
    };
    hooks.on_slowdown = [this]
    {
        this->publish_slowdown();
    };
    hooks.deregistrations_loaded = [this]
    {
        return this->discovery->deregistrations_loaded();
    };
    hooks.better_peers = [this](core::duration wait_limit)
    {
        return this->router_of(this->settings.service).better_peers(wait_limit);
    };
    hooks.faster_peers = [this](double slowdown, core::duration service_time)
    {
        return this->router_of(this->settings.service).faster_peers(slowdown, service_time);
    };
    this->upstream =
        std::make_unique<upstream_task>(*this->loop, this->settings, this->platform_adapter, std::move(hooks));
    this->router_of(this->settings.service).set_local(&this->upstream->receiver());
}

void mesh_node::state::connect_peers()
{
    node::peer_listener::hooks hooks;
    hooks.config_version = [this]
    {
        return this->configuration->version();
    };
    hooks.best_peer_wait = [this]
    {
        return this->router_of(this->settings.service).best_peer_wait();
    };
    hooks.document = [this](std::string_view target)
    {
        return this->respond_to_peer(target);
    };
    hooks.on_caller = [this](const core::socket_address& from)
    {
        this->recent_callers[from.host] = this->loop->now();
    };
    this->peers = std::make_unique<node::peer_listener>(*this->loop, this->settings.listen.peers, this->identity,
                                                        this->settings.service, std::move(hooks));
    this->peers->set_receiver(&this->upstream->receiver());
    this->gossip = std::make_unique<node::gossip_task>(
        *this->loop,
        node::gossip_parameters{
            group_name, make_member(this->settings), this->settings.cluster_secret, detector_settings(), {}},
        this->random,
        node::gossip_task::hooks{.on_members = {},
                                 .on_events = [this](const auto& events) { this->on_member_events(events); },
                                 .on_idle_hint = {},
                                 .on_slowdown_notice =
                                     [this](const core::node_id& id, std::uint32_t slowdown_percent)
                                 {
                                     for (const auto& [name, router] : this->routers)
                                     {
                                         router->on_slowdown_notice(id, slowdown_percent);
                                     }
                                 },
                                 .on_evacuation_notice = [this](const auto& from, const auto& notice)
                                 { this->on_evacuation_notice(from, notice); },
                                 .on_quota_reports = [this](const auto& from, const auto& reports)
                                 { this->on_quota_reports(from, reports); },
                                 .on_quota_decisions =
                                     [this](const wire::quota_decisions& received)
                                 {
                                     if (this->quotas)
                                     {
                                         this->quotas->on_decisions(received.decisions);
                                     }
                                 },
                                 .on_superseded = [this] { this->drain(); },
                                 .on_probe_timeout =
                                     [this]
                                 {
                                     // If all watchers have failed, nobody else learns of a new configuration.
                                     this->gossip->check(this->configuration->higher_ranked_members());
                                 }});
}

void mesh_node::state::connect_store()
{
    this->configuration = std::make_unique<configuration_task>(
        *this->loop, this->settings.id, this->settings.availability_zone, this->identity.cluster_key,
        this->settings.is_first_start, this->platform_adapter, this->random,
        configuration_task::hooks{.on_route_table = [this](const auto& value) { this->on_route_table(value); },
                                  .link_of = [this](const core::node_id& id) { return this->link_of(id); },
                                  .on_store_reached =
                                      [this](bool reached)
                                  {
                                      this->gossip->update(
                                          [reached](membership::detector& detector, core::time_point now)
                                          { detector.set_reaches_store(reached, now); });
                                  }});
    this->discovery = std::make_unique<discovery_task>(
        *this->loop, this->settings.id, this->settings.listen.peers, this->settings.is_first_start,
        *this->platform_adapter.objects, this->random,
        discovery_task::hooks{.on_addresses =
                                  [this](const std::vector<core::socket_address>& addresses)
                              {
                                  this->gossip->update([&](membership::detector& detector, core::time_point)
                                                       { detector.set_seeds(addresses); });
                                  this->gossip->contact(addresses);
                              },
                              .on_deregistered =
                                  [this](const std::string& instance)
                              {
                                  this->upstream->record_deregistration(instance);
                              }});
}

void mesh_node::state::connect_callers()
{
    entry::hooks hooks;
    hooks.open = [this](const auto& parameters, const auto& header, const auto& description, auto events)
    {
        return this->router_of(description.service).open(parameters, header, description, std::move(events));
    };
    hooks.on_finished = [this](const node::call_description& description, const node::call_result& result)
    {
        this->metrics.count_call(description.service, description.traffic_class, result.outcome, result.latency);
    };
    hooks.on_refused = [this](std::error_code reason)
    {
        this->metrics.count_refusal(reason.value());
    };
    hooks.admit_tenant = [this](const tenants::tenant& tenant) -> limits::verdict
    {
        const auto quota = this->quota_of(tenant.name);
        return quota ? this->quotas->admit(tenant.name, *quota) : limits::verdict{};
    };
    hooks.give_back = [this](const std::string& tenant)
    {
        this->quotas->give_back(tenant);
    };
    hooks.node_count = [this]
    {
        return this->members.size();
    };
    hooks.expected_wait = [this](const std::string& service)
    {
        return this->router_of(service).min_expected_wait();
    };
    this->callers =
        std::make_unique<entry>(*this->loop, this->settings, this->platform_adapter, this->random, std::move(hooks));
}

void mesh_node::state::on_route_table(const std::shared_ptr<const routes::route_table>& new_table)
{
    this->table = new_table;
    if (new_table->source().has_tenants && !this->quotas)
    {
        this->share_quotas();
    }
    this->callers->apply(new_table);
    for (const auto& each : new_table->source().services)
    {
        this->router_of(each.name).apply(
            {.connection_limit = each.connection_limit, .zone_preference = zone_preference, .compares_all = true},
            new_table->version());
    }
    if (const auto* const local_service = new_table->find_service(this->settings.service))
    {
        this->upstream->apply(*local_service);
    }
    this->gossip->update([&new_table](membership::detector& detector, core::time_point now)
                         { detector.set_configuration_version(new_table->version(), now); });
}

void mesh_node::state::on_deregistered(const std::string& instance, std::function<void()> done)
{
    this->gossip->update([&instance](membership::detector& detector, core::time_point now)
                         { detector.set_deregistered(instance, now); });
    const auto pending = std::make_shared<std::function<void()>>(std::move(done));
    const auto finish = [pending]
    {
        if (const auto hook = std::exchange(*pending, nullptr))
        {
            hook();
        }
    };
    const auto limit = std::make_shared<net::timer>(*this->loop, finish);
    limit->schedule(deregistration_wait);
    this->discovery->store_deregistration(instance,
                                          [finish, limit, instance](bool is_stored)
                                          {
                                              observability::log_record{"departure_kept"}
                                                  .with("upstream", instance)
                                                  .with("in_store", is_stored ? "true" : "false")
                                                  .write(observability::log_level::info);
                                              limit->cancel();
                                              finish();
                                          });
}

node::peer_document mesh_node::state::respond_to_peer(std::string_view target) const
{
    constexpr int not_found = 404;
    if (target.substr(0, target.find('?')) == config_path)
    {
        return this->configuration->respond_to_pull(target);
    }
    return {not_found, "text/plain", std::make_shared<const std::string>("no such document\n")};
}

void mesh_node::state::add_gauges()
{
    const auto add = [this](const char* name, const char* help, auto value)
    {
        this->metrics.add_gauge(name, help, [value] { return static_cast<double>(value()); });
    };
    add("poplarport_calls_in_progress", "Calls of callers in progress.",
        [this] { return this->callers->calls_in_progress(); });
    add("poplarport_caller_connections", "Open connections of callers.",
        [this] { return this->callers->connection_count(); });
    add("poplarport_members", "Live members of the mesh.", [this] { return this->members.size(); });
    add("poplarport_configuration_version", "Version of the configuration that is in force.",
        [this] { return this->configuration->version(); });
    add("poplarport_configuration_watcher", "Whether the node is one of those that watch the configuration.",
        [this] { return this->configuration->is_watcher() ? 1 : 0; });
    add("poplarport_store_calls", "Calls to the object store, a watch counted as one.",
        [this] { return this->platform_adapter.objects->calls(); });
    add("poplarport_store_era", "Number of times that the object store has come back from an older copy, as it states.",
        [this] { return this->platform_adapter.objects->current_era(); });
    add("poplarport_store_failures", "Calls to the object store without a usable answer.",
        [this] { return this->platform_adapter.objects->failures(); });
    add("poplarport_membership_bytes_out", "Bytes of membership datagrams sent.",
        [this] { return this->gossip->traffic().bytes_out; });
    add("poplarport_membership_datagrams_refused", "Datagrams that were damaged or not authentic.",
        [this] { return this->gossip->traffic().refused; });
    add("poplarport_upstream_accepting", "Whether the local upstream takes work.",
        [this] { return this->upstream->accepting() ? 1 : 0; });
    add("poplarport_upstream_slowdown_percent", "Present duration of work on the VM, 100 for its usual speed.",
        [this] { return this->upstream->receiver().load().slowdown_percent; });
    add("poplarport_upstream_max_request_rate", "Requests per second that the upstream takes, 0 for no limit.",
        [this] { return this->upstream->max_request_rate().value_or(0.0); });
    add("poplarport_tenants_active", "Tenants with a quota and requests at this node in the last seconds.",
        [this] { return this->quotas ? this->quotas->active_tenants() : 0; });
    add("poplarport_quotas_owned", "Tenants for whose quotas this node decides.",
        [this] { return this->quotas ? this->quotas->owned_quotas() : 0; });
    add("poplarport_quota_requests_refused", "Requests refused because a tenant's quota was used up.",
        [this] { return this->quotas ? this->quotas->refused_requests() : 0; });
    add("poplarport_zones_evacuated", "Availability zones that are evacuated.",
        [this] { return this->evacuations ? this->evacuations->state().zones.size() : 0; });
    add("poplarport_evacuations_revision", "Revision of the store at which the evacuated zones were read.",
        [this] { return this->evacuations ? this->evacuations->state().revision : 0; });
    add("poplarport_upstream_cold", "Whether the local upstream is cold.",
        [this] { return this->upstream->is_cold() ? 1 : 0; });
    add("poplarport_upstream_cold_limit", "Requests in any second that a cold upstream may get, 0 for no limit.",
        [this] { return this->upstream->cold_limit().value_or(0.0); });
    add("poplarport_upstream_requests_dispatched", "Requests sent to the upstream.",
        [this] { return this->upstream->receiver().statistics().dispatched; });
    add("poplarport_upstream_requests_refused", "Requests that admission refused.",
        [this] { return this->upstream->receiver().statistics().refused; });
    add("poplarport_log_records_dropped", "Log records that were not written.",
        [] { return observability::dropped_records(); });
}

void mesh_node::state::drain()
{
    if (std::exchange(this->draining, true))
    {
        return;
    }
    this->drain_started = this->loop->now();
    observability::log_record{"drain_started"}
        .with("node", this->settings.id)
        .with("calls_in_progress", static_cast<std::int64_t>(this->callers->calls_in_progress()))
        .write(observability::log_level::info);
    this->gossip->update([](membership::detector& detector, core::time_point now) { detector.drain(now); });
    this->callers->drain(this->drain_started + this->settings.stop_limit - exit_reserve);
    this->drain_timer.schedule(drain_check_interval);
}

void mesh_node::state::check_drained()
{
    const auto waited = this->loop->now() - this->drain_started;
    if (this->stopped)
    {
        this->on_stopped();
        return;
    }
    const bool expired = waited >= this->settings.stop_limit - exit_reserve;
    const bool callers_notified = this->unready_responses >= unready_threshold || waited > max_unready_wait;
    if (callers_notified)
    {
        this->callers->stop_listening();
        this->callers->close_idle();
        this->peers->drain();
        this->upstream->receiver().drain();
    }
    const bool is_idle = callers_notified && this->callers->calls_in_progress() == 0 &&
                         this->callers->connection_count() == 0 && this->upstream->receiver().is_idle() &&
                         this->peers->call_count() == 0;
    if (!is_idle && !expired)
    {
        this->drain_timer.schedule(drain_check_interval);
        return;
    }
    this->stopped = true;
    const auto interrupted = this->callers->calls_in_progress();
    this->callers->end_calls();
    observability::log_record{"drain_finished"}
        .with("node", this->settings.id)
        .with("waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(waited).count())
        .with("complete", is_idle ? "true" : "false")
        .with("interrupted_calls", static_cast<std::int64_t>(interrupted))
        .write(is_idle ? observability::log_level::info : observability::log_level::warning);
    this->gossip->leave();
    this->drain_timer.schedule(leave_delay);
}

mesh_node::mesh_node(net::event_loop& loop, const mesh_settings& settings, adapter platform_adapter,
                     std::function<void()> on_stopped)
    : data(std::make_unique<state>(loop, settings, std::move(platform_adapter), std::move(on_stopped)))
{
}

mesh_node::~mesh_node() = default;

void mesh_node::on_heartbeat(const registration::upstream_heartbeat& heartbeat,
                             const std::function<void(std::error_code)>& acknowledge)
{
    this->data->upstream->on_heartbeat(heartbeat, acknowledge);
}

void mesh_node::on_deregistration(const registration::upstream_instance& instance,
                                  const std::function<void(std::error_code)>& acknowledge)
{
    this->data->upstream->on_deregistration(instance, acknowledge);
}

bool mesh_node::respond_to_readiness_check()
{
    const bool ready = !this->data->draining && this->data->configuration->version() != 0;
    this->data->unready_responses = ready ? 0 : this->data->unready_responses + 1;
    return ready;
}

std::string mesh_node::metrics_text() const
{
    return this->data->metrics.text();
}

bool mesh_node::apply(const mesh_settings& settings)
{
    auto& current = this->data->settings;
    // Only the start of the process depends on it.
    current.is_first_start = settings.is_first_start;
    current.retry = settings.retry;
    current.stop_limit = settings.stop_limit;
    if (current.log_level != settings.log_level)
    {
        current.log_level = settings.log_level;
        observability::set_log_level(observability::log_level_from_string(settings.log_level));
    }
    return current == settings;
}

void mesh_node::drain()
{
    this->data->drain();
}

} // namespace poplarport::mesh
