#include "poplarport/node/receiver.hpp"

#include <algorithm> // max
#include <chrono>    // milliseconds
#include <utility>   // exchange, move

#include "poplarport/node/detail/local_channel.hpp"
#include "poplarport/node/detail/slow_vm_threshold.hpp"
#include "poplarport/node/detail/status_check.hpp"
#include "poplarport/node/errors.hpp"

namespace poplarport::node
{

namespace
{

// Requests that are still queued some time after the start of a drain are refused before the drain limit, so that a
// request that is being dispatched arrives in time.
core::duration queue_drain_time_of(const receiver_limits& limits)
{
    return limits.drain_limit * 3 / 4;
}

// Tenant of all requests if they do not share the upstream by tenant.
constexpr const char* all_tenants = "-";

// Usual service time before the first request has ended. Without an assumption, the first requests would start on a
// slow VM and stay slow.
constexpr std::chrono::milliseconds assumed_service_time{100};

// Maximum interval between checks of the queue, so that a request whose deadline cannot be met is refused early.
constexpr std::chrono::milliseconds expiry_interval{10};

// The speed of a shared VM changes many times a second, and a request that starts on a slow VM stays slow to its end.
// An older load report is therefore refreshed before a request starts; the upstream responds within about a
// millisecond.
constexpr std::chrono::milliseconds max_load_age{15};

admission::limits to_gate_limits(const receiver_limits& limits)
{
    return {std::max(limits.slots, 1U), limits.queue_length, limits.tenant_weights, limits.class_weights,
            limits.bounds_starts};
}

// A colon separates a class from its subclass. The share of the slots depends on the class alone.
std::string base_class_of(const std::string& traffic_class)
{
    return traffic_class.substr(0, traffic_class.find(':'));
}

std::unique_ptr<http::client_pool> make_pool(net::event_loop& loop, const core::socket_address& address,
                                             std::uint32_t connections)
{
    http::client_pool::limits pool_limits;
    pool_limits.connections = connections;
    return std::make_unique<http::client_pool>(loop, address, pool_limits);
}

} // namespace

receiver_limits to_receiver_limits(const manifest::service& rules)
{
    receiver_limits limits;
    limits.slots = std::max(rules.upstream.slots, 1U);
    limits.queue_length = rules.upstream.queue_length;
    limits.connection_limit = rules.upstream.connection_limit;
    limits.cold_start_ramp = rules.upstream.cold_start_ramp;
    for (const auto& tenant : rules.tenants)
    {
        limits.tenant_weights.insert_or_assign(tenant.tenant, static_cast<double>(std::max(tenant.share_weight, 1U)));
    }
    for (const auto& traffic_class : rules.classes)
    {
        limits.class_weights.insert_or_assign(traffic_class.name,
                                              static_cast<double>(std::max(traffic_class.weight, 1U)));
    }
    return limits;
}

receiver::receiver(net::event_loop& event_loop, core::socket_address upstream, const call_protocol& header_protocol,
                   const receiver_limits& limits, hooks callbacks)
    : loop(&event_loop), protocol(&header_protocol), events(std::move(callbacks)),
      pool(make_pool(event_loop, upstream, limits.connection_limit)), upstream_address(std::move(upstream)),
      connection_limit(limits.connection_limit), gate(admission::gate::builder{}
                                                          .slots(std::max(limits.slots, 1U))
                                                          .queue_capacity(limits.queue_length)
                                                          .cold_start_ramp(limits.cold_start_ramp)
                                                          .build(event_loop.now())),
      expiry_timer(event_loop,
                   [this]
                   {
                       this->act_on(this->gate.expire(this->loop->now()));
                       this->schedule_expiry();
                   }),
      drain_timer(event_loop,
                  [this]
                  {
                      for (const auto& refusal : this->gate.refuse_queued())
                      {
                          this->refuse(refusal.id, refusal.reason);
                      }
                  })
{
    this->bounds_starts = limits.bounds_starts;
    this->shares_by_tenant = limits.shares_by_tenant;
    this->queue_drain_time = queue_drain_time_of(limits);
    this->act_on(this->gate.set_limits(to_gate_limits(limits), event_loop.now()));
}

receiver::~receiver()
{
    // The connections of attempts and checks outlive the receiver if the event loop or a caller still holds them.
    for (const auto& [ticket, channel] : std::exchange(this->channels, {}))
    {
        channel->cancel();
    }
    for (const auto& check : std::exchange(this->checks, {}))
    {
        check->cancel();
    }
}

std::shared_ptr<attempt_channel> receiver::start(http::request_header header, received_call call,
                                                 attempt_channel::hooks callbacks)
{
    const auto ticket = call.id + "/" + std::to_string(++this->last_ticket);
    const admission::ticket offered{ticket, this->shares_by_tenant ? call.tenant : std::string{all_tenants},
                                    base_class_of(call.traffic_class), this->ticket_deadline(call),
                                    call.best_peer_wait};
    auto channel = std::make_shared<detail::local_channel>(*this, ticket, std::move(header), std::move(call),
                                                           std::move(callbacks));
    this->channels.emplace(ticket, channel);
    if (!this->accepting)
    {
        this->loop->post([this, ticket] { this->refuse(ticket, errc::upstream_not_accepting); });
        return channel;
    }
    if (this->is_load_outdated())
    {
        this->events.refresh_load(
            [this, offered]
            {
                if (this->channels.contains(offered.id))
                {
                    this->offer(offered);
                }
            });
        return channel;
    }
    this->offer(offered);
    return channel;
}

void receiver::offer(const admission::ticket& offered)
{
    const auto& ticket = offered.id;
    const auto better = this->faster_peers();
    if (!better.empty())
    {
        this->loop->post([this, ticket, better] { this->refuse(ticket, errc::upstream_slowed, better); });
        return;
    }
    const auto decision = this->gate.offer(offered, this->loop->now());
    if (decision.displaced)
    {
        this->refuse(decision.displaced->id, decision.displaced->reason);
    }
    switch (decision.disposition)
    {
    case admission::action::admit:
        ++this->totals.admitted;
        // No hook may be called inside start(), and a failed dispatch calls one.
        this->loop->post(
            [channel = this->channels.at(ticket)]
            {
                channel->notify_accepted();
                channel->dispatch();
            });
        break;
    case admission::action::queue:
        ++this->totals.queued;
        this->loop->post([channel = this->channels.at(ticket)] { channel->notify_accepted(); });
        this->schedule_expiry();
        break;
    case admission::action::refuse:
        this->loop->post([this, ticket, reason = decision.reason] { this->refuse(ticket, reason); });
        break;
    }
}

core::time_point receiver::ticket_deadline(const received_call& call) const
{
    if (!this->bounds_starts)
    {
        return call.deadline;
    }
    const auto usual_time = this->usual_service_times.of(call.traffic_class);
    const auto end = call.target ? std::min(*call.target, call.deadline) : call.deadline;
    return end - usual_time * this->slowdown_percent / 100;
}

bool receiver::is_load_outdated() const
{
    return this->events.refresh_load && this->load_age() > max_load_age;
}

std::optional<core::duration> receiver::load_age() const
{
    return this->load_reported_at ? std::optional{this->loop->now() - *this->load_reported_at} : std::nullopt;
}

std::vector<core::node_id> receiver::faster_peers() const
{
    constexpr double normal_percent = 100.0;
    if (this->slowdown_percent < detail::slow_vm_threshold_percent || !this->events.faster_peers)
    {
        return {};
    }
    const auto usual_time = this->usual_service_times.max_average(this->loop->now()).value_or(assumed_service_time);
    return this->events.faster_peers(this->slowdown_percent / normal_percent, usual_time);
}

void receiver::apply(const receiver_limits& limits)
{
    if (limits.connection_limit != this->connection_limit)
    {
        this->connection_limit = limits.connection_limit;
        this->pool->set_connection_limit(this->connection_limit);
    }
    this->bounds_starts = limits.bounds_starts;
    this->shares_by_tenant = limits.shares_by_tenant;
    this->queue_drain_time = queue_drain_time_of(limits);
    this->act_on(this->gate.set_limits(to_gate_limits(limits), this->loop->now()));
}

void receiver::set_upstream(std::string upstream_identity)
{
    this->identity = std::move(upstream_identity);
}

void receiver::set_accepting(bool is_accepting)
{
    if (this->accepting == is_accepting)
    {
        return;
    }
    this->accepting = is_accepting;
    if (!is_accepting)
    {
        this->drain_timer.schedule(this->queue_drain_time);
    }
    else if (!this->draining)
    {
        this->drain_timer.cancel();
    }
}

void receiver::set_max_request_rate(std::optional<double> per_second)
{
    this->act_on(this->gate.set_max_start_rate(per_second, this->loop->now()));
}

void receiver::set_cold_limit(std::optional<double> per_second, double first_second)
{
    this->act_on(this->gate.set_cold_limit(per_second, first_second, this->loop->now()));
}

void receiver::on_upstream_load(const upstream_load& load)
{
    this->slowdown_percent = std::max(load.slowdown_percent, 1U);
    this->load_reported_at = this->loop->now();
    if (this->events.on_load)
    {
        this->events.on_load(load);
    }
}

void receiver::check(const std::string& path, core::duration timeout,
                     std::function<void(const http::response_header*)> hook)
{
    const auto check = std::make_shared<detail::status_check>(*this, std::move(hook));
    this->checks.insert(check);
    check->start(path, timeout);
}

void receiver::drain()
{
    this->draining = true;
    this->gate.drain();
    this->drain_timer.schedule(this->queue_drain_time);
}

core::load_report receiver::load() const
{
    auto report = this->gate.load(this->loop->now());
    report.draining = this->draining || !this->accepting;
    report.slowdown_percent = this->slowdown_percent;
    if (const auto usual_time = this->usual_service_times.max_average(this->loop->now()))
    {
        report.service_time = std::chrono::duration_cast<std::chrono::microseconds>(*usual_time);
    }
    // With a limit on the starts, a slot becomes free only at that rate.
    const auto slot_time = this->gate.min_start_interval() * report.slots;
    report.service_time =
        std::max(report.service_time, std::chrono::duration_cast<std::chrono::microseconds>(slot_time));
    return report;
}

// A refused call is redirected to a peer only if its expected wait there is less than half of the local one. When all
// peers are equally overloaded, each refusal would otherwise cause another one at a peer.
core::duration receiver::redirect_limit() const
{
    if (this->draining || !this->accepting)
    {
        return core::duration::max();
    }
    const auto load = this->load();
    return core::duration{load.service_time} * load.queued / std::max(load.slots, 1U) / 2;
}

void receiver::act_on(const admission::changes& result)
{
    for (const auto& refusal : result.refused)
    {
        this->refuse(refusal.id, refusal.reason);
    }
    for (const auto& ticket : result.started)
    {
        const auto position = this->channels.find(ticket);
        if (position != this->channels.end())
        {
            const auto channel = position->second;
            this->loop->post([channel] { channel->dispatch(); });
        }
    }
}

void receiver::refuse(const std::string& ticket, std::error_code reason)
{
    this->refuse(ticket, reason, this->events.better_peers(this->redirect_limit()));
}

void receiver::refuse(const std::string& ticket, std::error_code reason, std::vector<core::node_id> better)
{
    const auto position = this->channels.find(ticket);
    if (position == this->channels.end())
    {
        return;
    }
    ++this->totals.refused;
    const auto channel = position->second;
    this->channels.erase(position);
    channel->refuse(reason, std::move(better));
}

void receiver::end(const std::string& ticket, const std::string& traffic_class,
                   std::optional<core::duration> service_time, std::uint32_t slowdown)
{
    if (this->channels.erase(ticket) == 0)
    {
        return;
    }
    if (service_time && this->load_reported_at)
    {
        this->usual_service_times.add(traffic_class, *service_time * 100 / std::max(slowdown, 1U), this->loop->now());
    }
    const auto now = this->loop->now();
    const auto result = service_time ? this->gate.release(ticket, *service_time, now) : this->gate.cancel(ticket, now);
    const bool has_spare_slot = result.started.empty();
    this->act_on(result);
    if (has_spare_slot && !this->draining && this->events.on_slot_free)
    {
        this->events.on_slot_free();
    }
}

void receiver::schedule_expiry()
{
    const auto next = this->gate.next_deadline();
    if (!next)
    {
        return;
    }
    if (!this->expiry_timer.is_scheduled())
    {
        this->expiry_timer.schedule(std::min<core::duration>(expiry_interval, *next - this->loop->now()));
    }
}

} // namespace poplarport::node
