#include "poplarport/node/service_router.hpp"

#include <algorithm> // ranges::find, min
#include <chrono>    // microseconds, milliseconds
#include <utility>   // exchange, move

#include "poplarport/node/detail/peer_channel.hpp"
#include "poplarport/node/detail/slow_vm_threshold.hpp"
#include "poplarport/observability/log_record.hpp"
#include "poplarport/peer/call_metadata.hpp"

namespace poplarport::node
{

namespace
{

// The receiver's deadline is earlier than the sender's by this margin, so that a refusal arrives before the sender's
// timeout and the call ends as "not run" instead of "unknown".
constexpr std::chrono::milliseconds max_response_margin{5};
constexpr int response_margin_divisor = 10;

core::duration response_margin(core::duration time_left)
{
    return std::min<core::duration>(max_response_margin, time_left / response_margin_divisor);
}

// A call is served on the local VM while the local upstream uses less than this fraction of its slots. Above it, a
// shorter wait at a peer may outweigh the additional network latency.
constexpr double local_utilization_limit = 0.75;

// Between nodes, a request without a tenant has this name, because the field must not be empty.
constexpr const char* no_tenant = "-";

std::chrono::microseconds to_microseconds(core::time_point now)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
}

/// Reports the cancellation of an attempt to the router.
class tracked_channel final : public attempt_channel
{
  public:
    tracked_channel(std::shared_ptr<attempt_channel> wrapped, std::function<void()> cancelled)
        : target(std::move(wrapped)), on_cancelled(std::move(cancelled))
    {
    }

    void send_body(std::string_view bytes) override
    {
        this->target->send_body(bytes);
    }

    void finish_request() override
    {
        this->target->finish_request();
    }

    void set_reading(bool enabled) override
    {
        this->target->set_reading(enabled);
    }

    void cancel() override
    {
        this->target->cancel();
        this->on_cancelled();
    }

    [[nodiscard]] std::size_t pending_bytes() const noexcept override
    {
        return this->target->pending_bytes();
    }

    [[nodiscard]] bool has_sent_bytes() const noexcept override
    {
        return this->target->has_sent_bytes();
    }

  private:
    std::shared_ptr<attempt_channel> target;
    std::function<void()> on_cancelled;
};

} // namespace

service_router::service_router(net::event_loop& event_loop, const node_identity& self, std::string service_name,
                               std::mt19937_64& random_engine, hooks callbacks)
    : loop(&event_loop), identity(&self), service(std::move(service_name)), random(&random_engine),
      events(std::move(callbacks))
{
    this->rebuild_router();
}

service_router::~service_router()
{
    *this->alive = false;
}

void service_router::set_local(receiver* local_receiver) noexcept
{
    this->local = local_receiver;
}

routing_rules to_routing_rules(const manifest::service_document& document, std::string_view zone)
{
    core::duration max_cost{0};
    for (const auto& cost : document.zone_costs)
    {
        const bool concerns_zone = cost.from == zone || cost.to == zone;
        max_cost = concerns_zone ? std::max<core::duration>(max_cost, cost.cost) : max_cost;
    }
    return {.connection_limit = document.rules.upstream.connection_limit,
            .tail_weight_per_mille = document.rules.tail_latency_weight_per_mille,
            .zone_round_trip = max_cost * 2};
}

void service_router::apply(const routing_rules& new_rules, core::version version)
{
    this->config_version = version;
    if (const auto previous_rules = std::exchange(this->rules, new_rules); previous_rules != new_rules)
    {
        this->rebuild_router();
        this->update_endpoints();
    }
}

void service_router::rebuild_router()
{
    constexpr double per_mille = 1000.0;
    const double tail_weight = static_cast<double>(this->rules.tail_weight_per_mille) / per_mille;
    this->router = std::make_unique<routing::router>(routing::router::builder{}
                                                         .availability_zone(this->identity->availability_zone)
                                                         .zone_cost(this->rules.zone_round_trip)
                                                         .zone_preference(this->rules.zone_preference)
                                                         .compare_all(this->rules.compares_all)
                                                         .weights(tail_weight, 1.0 - tail_weight)
                                                         .build());
}

std::optional<opened_attempt> service_router::open(const attempts::start_parameters& parameters,
                                                   const http::request_header& header,
                                                   const call_description& description,
                                                   attempt_channel::hooks callbacks)
{
    const auto target = this->select_endpoint(parameters);
    if (!target)
    {
        return std::nullopt;
    }
    const auto id = target->id;
    const bool is_local = this->local != nullptr && id == this->identity->id;
    this->log_selection(*target, description, parameters);
    this->router->on_sent(id, this->loop->now());
    auto tracked = this->track(id, std::move(callbacks));
    auto channel = is_local ? this->open_local(header, description, parameters, std::move(tracked))
                            : this->open_remote(*target, header, description, parameters, std::move(tracked));
    const auto on_cancelled = [this, id, still_alive = this->alive]
    {
        if (*still_alive)
        {
            this->router->on_cancelled(id, this->loop->now());
        }
    };
    return opened_attempt{id, std::make_shared<tracked_channel>(std::move(channel), on_cancelled)};
}

void service_router::log_selection(const routing::endpoint& target, const call_description& description,
                                   const attempts::start_parameters& parameters) const
{
    if (!observability::is_request_logged(observability::log_level::debug, description.id))
    {
        return;
    }
    const auto now = this->loop->now();
    const auto view = this->router->report_of(target.id, now).value_or(routing::report_view{});
    observability::log_record{"attempt_started"}
        .with("id", description.id)
        .with("attempt", parameters.attempt)
        .with("endpoint", target.id)
        .with("incarnation", static_cast<std::int64_t>(target.incarnation))
        .with("redirected", parameters.preferred_endpoint ? "true" : "false")
        .with("tried", static_cast<std::int64_t>(parameters.excluded.size()))
        .with("slots", view.report.slots)
        .with("in_flight", view.report.in_flight)
        .with("queued", view.report.queued)
        .with("slowdown_percent", view.report.slowdown_percent)
        .with("own_calls", static_cast<std::int64_t>(view.local_calls))
        .with("report_age_us", view.age)
        .with("time_left_us", parameters.time_left)
        .write(observability::log_level::debug);
}

std::optional<routing::endpoint> service_router::select_endpoint(const attempts::start_parameters& parameters)
{
    if (parameters.preferred_endpoint && this->endpoints.contains(*parameters.preferred_endpoint))
    {
        return this->endpoints.at(*parameters.preferred_endpoint);
    }
    if (this->local_has_capacity(parameters))
    {
        return this->endpoints.at(this->identity->id);
    }
    const auto choice = this->router->pick({parameters.excluded}, this->loop->now(), *this->random);
    return choice ? std::optional{*choice->target} : std::nullopt;
}

bool service_router::local_has_capacity(const attempts::start_parameters& parameters) const
{
    if (this->local == nullptr || !this->endpoints.contains(this->identity->id) ||
        std::ranges::find(parameters.excluded, this->identity->id) != parameters.excluded.end() ||
        this->router->is_flagged(this->identity->id, this->loop->now()))
    {
        return false;
    }
    const auto load = this->local->load();
    return !load.draining && load.slowdown_percent < detail::slow_vm_threshold_percent &&
           static_cast<double>(load.in_flight + load.queued) <
               local_utilization_limit * static_cast<double>(load.slots);
}

std::shared_ptr<attempt_channel> service_router::open_local(const http::request_header& header,
                                                            const call_description& description,
                                                            const attempts::start_parameters& parameters,
                                                            attempt_channel::hooks callbacks)
{
    received_call call;
    call.id = description.id;
    call.tenant = description.tenant;
    call.traffic_class = description.traffic_class;
    call.deadline = this->loop->now() + parameters.time_left - response_margin(parameters.time_left);
    call.target = description.target;
    call.depth = parameters.depth;
    call.attempt = parameters.attempt_number;
    if (!parameters.preferred_endpoint)
    {
        call.best_peer_wait = this->best_peer_wait();
    }
    return this->local->start(header, std::move(call), std::move(callbacks));
}

std::shared_ptr<attempt_channel> service_router::open_remote(const routing::endpoint& target,
                                                             const http::request_header& header,
                                                             const call_description& description,
                                                             const attempts::start_parameters& parameters,
                                                             attempt_channel::hooks callbacks)
{
    auto& link = this->link_to(target.address);
    http::request_header sent = header;
    peer::call_metadata metadata;
    metadata.request_id = description.id;
    metadata.time_left = std::chrono::duration_cast<std::chrono::microseconds>(parameters.time_left -
                                                                               response_margin(parameters.time_left));
    metadata.sent_at = to_microseconds(this->loop->now());
    if (description.target)
    {
        const auto left = std::max(*description.target - this->loop->now(), core::duration{0});
        metadata.target_left = std::chrono::duration_cast<std::chrono::microseconds>(left);
    }
    metadata.attempt = parameters.attempt_number;
    metadata.depth = parameters.depth;
    metadata.tenant = description.tenant.empty() ? std::string{no_tenant} : description.tenant;
    metadata.traffic_class = description.traffic_class;
    metadata.config_version = this->config_version;
    peer::encode(metadata, sent.fields);
    sent.fields.set(detail::cluster_key_field, this->identity->cluster_key);
    sent.fields.set(detail::service_field, this->service);
    if (parameters.preferred_endpoint)
    {
        sent.fields.set(detail::redirected_field, "1");
    }
    auto channel = std::make_shared<detail::peer_channel>(*this->loop, std::move(callbacks));
    channel->start(link, sent);
    return channel;
}

attempt_channel::hooks service_router::track(const core::node_id& id, attempt_channel::hooks callbacks)
{
    const auto started_at = this->loop->now();
    const auto still_alive = this->alive;
    auto tracked = callbacks;
    tracked.on_end =
        [this, id, started_at, still_alive, next = std::move(callbacks.on_end)](const response_context& context)
    {
        if (*still_alive)
        {
            const auto now = this->loop->now();
            this->router->on_response(id, context.load, now - started_at, now);
            if (context.config_version != 0 && this->events.on_version_seen)
            {
                this->events.on_version_seen(id, context.config_version);
            }
        }
        next(context);
    };
    tracked.on_failed = [this, id, still_alive, next = std::move(callbacks.on_failed)](const attempt_failure& failure)
    {
        if (*still_alive)
        {
            const auto now = this->loop->now();
            if (std::holds_alternative<attempts::refused>(failure.event))
            {
                this->router->on_refused(id, failure.context.load, now);
            }
            else
            {
                this->router->on_failed(id, now);
            }
        }
        next(failure);
    };
    return tracked;
}

std::vector<core::node_id> service_router::better_peers(core::duration wait_limit)
{
    return this->name_peer([wait_limit](const routing::choice& peer) { return peer.expected_wait < wait_limit; });
}

std::vector<core::node_id> service_router::faster_peers(double slowdown, core::duration service_time)
{
    constexpr double normal_percent = 100.0;
    // Nodes send notices only at a change, so the last one about this VM may have expired, although its slowdown is
    // known.
    this->router->on_slowdown_notice(this->identity->id, static_cast<std::uint32_t>(slowdown * normal_percent),
                                     this->loop->now());
    const auto extra_time = [service_time](double factor)
    {
        return std::chrono::duration_cast<core::duration>(service_time * (factor - 1.0));
    };
    // Both VMs are compared with the service time of the same request; the router's estimates may be those of others.
    return this->name_peer(
        [&](const routing::choice& peer)
        {
            const auto wait = peer.expected_wait - peer.slowdown_extra;
            return wait + extra_time(peer.slowdown) < extra_time(slowdown);
        });
}

std::vector<core::node_id> service_router::name_peer(const std::function<bool(const routing::choice&)>& is_acceptable)
{
    const std::vector<core::node_id> self{this->identity->id};
    const auto now = this->loop->now();
    auto best = this->router->best_peer({self}, now);
    if (!best || !is_acceptable(*best))
    {
        best = this->router->best_unreported_peer({self}, now, *this->random);
    }
    if (!best || !is_acceptable(*best))
    {
        return {};
    }
    // The peer is assumed to be more loaded until its next report, so that a burst of refusals is not redirected to one
    // peer.
    this->router->on_redirected(best->target->id, now);
    return {best->target->id};
}

bool service_router::is_hint_useful(const core::load_report& local_load) const
{
    return this->router->is_hint_useful(local_load, this->loop->now());
}

std::optional<core::duration> service_router::best_peer_wait() const
{
    const std::vector<core::node_id> self{this->identity->id};
    const auto best = this->router->best_peer({self}, this->loop->now());
    return best ? std::optional{best->expected_wait} : std::nullopt;
}

std::optional<core::duration> service_router::min_expected_wait() const
{
    return this->router->min_expected_wait(this->loop->now());
}

void service_router::on_idle_hint(const core::node_id& id, std::uint32_t free_slots)
{
    this->router->on_idle_hint(id, free_slots, this->loop->now());
}

void service_router::on_slowdown_notice(const core::node_id& id, std::uint32_t slowdown_percent)
{
    this->router->on_slowdown_notice(id, slowdown_percent, this->loop->now());
}

peer::link& service_router::link_to(const core::socket_address& address)
{
    auto& link = this->links[address];
    if (!link)
    {
        link = std::make_unique<peer::link>(peer::link::builder{}.connect_to(address).build(*this->loop));
    }
    return *link;
}

peer::counters service_router::link_counters() const
{
    peer::counters sum;
    for (const auto& [address, link] : this->links)
    {
        const auto& counters = link->statistics();
        sum.sessions += counters.sessions;
        sum.streams += counters.streams;
        sum.refused += counters.refused;
        sum.silent += counters.silent;
        sum.bytes_in += counters.bytes_in;
        sum.bytes_out += counters.bytes_out;
        sum.pings += counters.pings;
    }
    return sum;
}

} // namespace poplarport::node
