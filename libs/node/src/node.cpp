#include "poplarport/node/node.hpp"

#include <algorithm>   // max, min, ranges::all_of
#include <chrono>      // milliseconds, seconds
#include <random>      // random_device
#include <string_view> // string_view
#include <utility>     // move

#include "poplarport/manifest/errors.hpp"
#include "poplarport/node/detail/document_pull.hpp"
#include "poplarport/node/detail/node_state.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::node
{

namespace
{

// Callers are notified of the stop by `Connection: close`. Idle connections stay open for this time, because a request
// may already be in transit on them.
constexpr std::chrono::milliseconds idle_connection_grace{500};

// Time in which the final membership message is sent before the process ends.
constexpr std::chrono::milliseconds leave_message_time{50};

constexpr std::chrono::milliseconds drain_check_interval{20};

// After this time a node is ready even without the services that it calls, because these may have no members.
constexpr std::chrono::seconds called_services_grace{2};
constexpr std::chrono::seconds default_drain_time{30};

measuring::budget empty_budget(core::time_point now)
{
    return measuring::budget::builder{}.bytes(0).processor_time(std::chrono::nanoseconds{0}).build(now);
}

} // namespace

node::state::state(net::event_loop& event_loop, const node_settings& initial_settings,
                   std::function<void()> stopped_hook)
    : loop(&event_loop), settings(initial_settings), on_stopped(std::move(stopped_hook)),
      identity(make_identity(initial_settings.id, initial_settings.availability_zone, initial_settings.cluster_secret)),
      random(std::random_device{}()), platform(event_loop, initial_settings.platform),
      measuring_budget(empty_budget(event_loop.now())), drain_timer(event_loop, [this] { this->check_drained(); }),
      drain_time(default_drain_time)
{
}

void node::state::connect()
{
    this->local_router = std::make_unique<service_router>(
        *this->loop, this->identity, this->settings.service, this->random,
        service_router::hooks{[this](const core::node_id& peer, core::version version)
                              {
                                  this->configuration->on_version_seen(this->settings.service, peer, version);
                              }});
    configuration_task::hooks configuration_hooks;
    configuration_hooks.on_document = [this](const auto& document, core::version version)
    {
        this->on_document(document, version);
    };
    configuration_hooks.router_of = [this](const std::string& service)
    {
        return this->router_of(service);
    };
    this->configuration = std::make_unique<configuration_task>(*this->loop, this->identity, this->platform,
                                                               this->random, std::move(configuration_hooks));
    peer_listener::hooks peer_hooks;
    peer_hooks.config_version = [this]
    {
        return this->configuration->version_of(this->settings.service);
    };
    peer_hooks.best_peer_wait = [this]
    {
        return this->local_router->best_peer_wait();
    };
    peer_hooks.document = [this](std::string_view target)
    {
        return this->respond_to_peer(target);
    };
    this->peers = std::make_unique<peer_listener>(*this->loop, this->settings.peer_sessions, this->identity,
                                                  this->settings.service, std::move(peer_hooks));
    entry::hooks entry_hooks;
    entry_hooks.open = [this](const auto& parameters, const auto& header, const auto& description,
                              auto events) -> std::optional<opened_attempt>
    {
        auto* const router = this->router_of(description.service);
        return router == nullptr ? std::nullopt : router->open(parameters, header, description, std::move(events));
    };
    entry_hooks.is_called_service = [this](std::string_view service)
    {
        return this->called_services.contains(std::string{service});
    };
    entry_hooks.on_finished = [this](const call_description& description, const call_result& result)
    {
        this->metrics.count_call(description.tenant, description.traffic_class, result.outcome, result.latency);
    };
    entry_hooks.on_refused = [this](std::error_code reason)
    {
        this->metrics.count_refusal(reason.value());
    };
    this->callers = std::make_unique<entry>(*this->loop, this->settings.callers, this->directory, this->random,
                                            this->settings.id, std::move(entry_hooks));
    membership_task::hooks membership_hooks;
    membership_hooks.on_members = [this](const auto& members)
    {
        this->on_local_members(members);
    };
    membership_hooks.on_idle_hint = [this](const core::node_id& id, std::uint32_t free_slots)
    {
        this->local_router->on_idle_hint(id, free_slots);
    };
    membership_hooks.on_superseded = [this]
    {
        this->drain();
    };
    // If a forwarder listens on the peer address, the forwarder's address is announced instead of the listener's.
    const bool is_forwarded = this->settings.peer_sessions != this->settings.peers;
    const auto announced_peer_address = is_forwarded ? this->settings.peers : this->peers->address();
    const membership_parameters parameters{this->settings.service, this->callers->address(), announced_peer_address,
                                           this->settings.cluster_secret, this->settings.seeds};
    this->membership = std::make_unique<membership_task>(*this->loop, this->identity, parameters, this->platform,
                                                         this->random, std::move(membership_hooks));
    control::server::builder builder{*this->loop};
    builder.listen(this->settings.administration);
    this->add_routes(builder);
    this->administration = builder.build();
    this->add_gauges();
    this->on_local_members(this->membership->members());
    this->configuration->follow(this->settings.service);
}

void node::state::on_document(const std::shared_ptr<const manifest::service_document>& document, core::version version)
{
    this->directory.insert(document);
    if (document->rules.name == this->settings.service)
    {
        this->on_local_document(*document, version);
        return;
    }
    if (auto* const router = this->router_of(document->rules.name))
    {
        router->apply(to_routing_rules(*document, this->identity.availability_zone), version);
    }
}

bool node::state::are_called_services_ready() const
{
    const auto is_service_ready = [this](const auto& entry)
    {
        return this->configuration->version_of(entry.first) != 0 && entry.second.router->endpoint_count() != 0;
    };
    return std::ranges::all_of(this->called_services, is_service_ready) ||
           this->loop->now() - this->configured_at > called_services_grace;
}

void node::state::on_local_document(const manifest::service_document& document, core::version version)
{
    const auto& rules = document.rules;
    this->drain_time = std::max<core::duration>(rules.upstream.drain_time, std::chrono::seconds{1});
    measuring::allowance allowance;
    allowance.per_window = {rules.measuring.bytes_per_second,
                            std::chrono::milliseconds{rules.measuring.processor_time_per_mille}};
    allowance.window = std::chrono::seconds{1};
    allowance.burst = std::chrono::milliseconds{200};
    this->measuring_budget.set_limit(allowance, this->loop->now());
    this->local_router->apply(to_routing_rules(document, this->identity.availability_zone), version);
    if (!this->local_receiver)
    {
        receiver::hooks hooks;
        hooks.better_peers = [this](core::duration wait_limit)
        {
            return this->local_router->better_peers(wait_limit);
        };
        hooks.on_slot_free = [this]
        {
            this->on_slot_free();
        };
        this->configured_at = this->loop->now();
        this->local_receiver = std::make_unique<receiver>(*this->loop, this->settings.upstream, this->protocol,
                                                          to_receiver_limits(rules), std::move(hooks));
        this->local_router->set_local(this->local_receiver.get());
        this->peers->set_receiver(this->local_receiver.get());
        if (this->draining)
        {
            this->local_receiver->drain();
        }
    }
    else
    {
        this->local_receiver->apply(to_receiver_limits(rules));
    }
    this->membership->set_configuration_version(version);
    this->follow_called_services(rules);
    if (!this->draining)
    {
        this->callers->start_listening();
    }
}

void node::state::follow_called_services(const manifest::service& rules)
{
    for (const auto& name : rules.calls)
    {
        if (this->called_services.contains(name) || name == this->settings.service)
        {
            continue;
        }
        auto& added = this->called_services[name];
        added.router = std::make_unique<service_router>(
            *this->loop, this->identity, name, this->random,
            service_router::hooks{[this, name](const core::node_id& peer, core::version version)
                                  {
                                      this->configuration->on_version_seen(name, peer, version);
                                  }});
        auto* const router = added.router.get();
        added.observer =
            std::make_unique<observer_task>(*this->loop, this->identity, name, *router, this->platform, this->random,
                                            [this, name, router](const std::vector<membership::member>& members)
                                            {
                                                router->set_members(members);
                                                this->configuration->set_members(name, members);
                                            });
        this->configuration->follow(name);
    }
}

void node::state::on_local_members(const std::vector<membership::member>& members)
{
    this->local_router->set_members(members);
    this->configuration->set_members(this->settings.service, members);
}

void node::state::on_slot_free()
{
    // Idle hints are sent to the members in turn, one at a time, and only within the measuring budget.
    constexpr std::chrono::microseconds hint_processor_time{20};
    const auto members = this->membership->members();
    if (members.size() <= 1)
    {
        return;
    }
    const auto load = this->local_receiver->load();
    if (!this->local_router->is_hint_useful(load))
    {
        return;
    }
    const auto& target = members[this->next_hint_member++ % members.size()];
    const auto free_slots = load.slots - load.in_flight;
    const auto bytes = this->membership->idle_hint_bytes(free_slots);
    if (target.id == this->settings.id ||
        !this->measuring_budget.try_spend(bytes, hint_processor_time, this->loop->now()))
    {
        return;
    }
    this->membership->send_idle_hint(target.peer_address, free_slots);
}

service_router* node::state::router_of(const std::string& service)
{
    if (service == this->settings.service)
    {
        return this->local_router.get();
    }
    const auto position = this->called_services.find(service);
    return position == this->called_services.end() ? nullptr : position->second.router.get();
}

peer_document node::state::respond_to_peer(std::string_view target)
{
    constexpr std::string_view config_prefix = "/.poplar/config/";
    constexpr std::string_view members_prefix = "/.poplar/members/";
    constexpr int not_found = 404;
    const auto path = target.substr(0, target.find('?'));
    if (path.starts_with(config_prefix))
    {
        return this->configuration->respond_to_pull(std::string{path.substr(config_prefix.size())}, target);
    }
    if (path.starts_with(members_prefix) && path.substr(members_prefix.size()) == this->settings.service)
    {
        return this->membership->respond_to_pull(detail::query_number(target, "hash"));
    }
    return {not_found, "text/plain", std::make_shared<const std::string>("no such document\n")};
}

void node::state::drain()
{
    if (this->draining)
    {
        return;
    }
    this->draining = true;
    this->drain_started = this->loop->now();
    observability::log_record{"drain_started"}
        .with("node", this->settings.id)
        .with("calls_in_progress", static_cast<std::int64_t>(this->callers->calls_in_progress()))
        .write(observability::log_level::info);
    // Peers are notified of the stop before the node refuses calls, so that few calls have to be redirected.
    this->membership->drain();
    if (this->local_receiver)
    {
        this->local_receiver->drain();
    }
    this->peers->drain();
    this->callers->drain();
    this->drain_timer.schedule(idle_connection_grace);
}

void node::state::check_drained()
{
    const auto waited = this->loop->now() - this->drain_started;
    const bool expired = waited >= this->drain_time;
    this->callers->stop_listening();
    this->callers->close_idle();
    const bool is_idle = this->callers->calls_in_progress() == 0 && this->callers->connection_count() == 0 &&
                         (!this->local_receiver || this->local_receiver->is_idle()) && this->peers->call_count() == 0;
    if (!is_idle && !expired)
    {
        this->drain_timer.schedule(drain_check_interval);
        return;
    }
    if (!std::exchange(this->stopped, true))
    {
        observability::log_record{"drain_finished"}
            .with("node", this->settings.id)
            .with("waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(waited).count())
            .with("complete", is_idle ? "true" : "false")
            .write(is_idle ? observability::log_level::info : observability::log_level::warning);
        this->membership->leave();
        this->drain_timer.schedule(leave_message_time);
        return;
    }
    this->on_stopped();
}

node::node(net::event_loop& loop, const node_settings& settings, std::function<void()> on_stopped)
    : tasks(std::make_unique<state>(loop, settings, std::move(on_stopped)))
{
    this->tasks->connect();
}

node::~node() = default;

void node::drain()
{
    this->tasks->drain();
}

core::socket_address node::callers() const
{
    return this->tasks->callers->address();
}

core::socket_address node::peers() const
{
    return this->tasks->peers->address();
}

core::socket_address node::administration() const
{
    return this->tasks->administration->address();
}

} // namespace poplarport::node
