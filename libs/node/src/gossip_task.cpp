#include "poplarport/node/gossip_task.hpp"

#include <chrono>  // duration_cast, microseconds, system_clock
#include <utility> // move

#include "poplarport/node/detail/overloaded.hpp"
#include "poplarport/observability/log_record.hpp"
#include "poplarport/wire/datagram.hpp"

namespace poplarport::node
{

namespace
{

const char* to_string(membership::member_change change)
{
    switch (change)
    {
    case membership::member_change::joined:
        return "member_joined";
    case membership::member_change::updated:
        return "member_updated";
    case membership::member_change::configured:
        return "member_configured";
    case membership::member_change::suspected:
        return "member_suspected";
    case membership::member_change::recovered:
        return "member_recovered";
    case membership::member_change::failed:
        return "member_failed";
    case membership::member_change::left:
        return "member_left";
    case membership::member_change::superseded:
        break;
    }
    return "superseded";
}

void log_event(const std::string& group, const membership::member_event& event)
{
    if (event.change == membership::member_change::configured)
    {
        // Each new version would cost one record for each member.
        return;
    }
    const bool is_routine = event.change == membership::member_change::updated;
    observability::log_record{to_string(event.change)}
        .with("service", event.member.service.empty() ? group : event.member.service)
        .with("member", event.member.id)
        .with("incarnation", static_cast<std::int64_t>(event.member.incarnation))
        .with("revision", event.member.revision)
        .with("draining", event.member.draining ? "true" : "false")
        .with("accepting", event.member.accepting ? "true" : "false")
        .with("reaches_store", event.member.reaches_store ? "true" : "false")
        .with("configuration", static_cast<std::int64_t>(event.member.configuration_version))
        .write(is_routine ? observability::log_level::debug : observability::log_level::info);
}

} // namespace

core::incarnation make_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<core::incarnation>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

gossip_task::gossip_task(net::event_loop& event_loop, gossip_parameters group_parameters,
                         std::mt19937_64& random_engine, hooks callbacks)
    : loop(&event_loop), parameters(std::move(group_parameters)), random(&random_engine), events(std::move(callbacks)),
      protocol(membership::detector::builder{}
                   .service(parameters.group)
                   .self(parameters.self)
                   .settings(parameters.settings)
                   .seeds(parameters.seeds)
                   .build(event_loop.now(), random_engine)),
      wakeup(event_loop,
             [this]
             {
                 this->act_on(this->protocol.tick(this->loop->now(), *this->random));
                 this->schedule();
             }),
      socket(event_loop, parameters.self.peer_address,
             [this](const core::socket_address& from, std::string_view bytes) { this->handle_datagram(from, bytes); })
{
    this->schedule();
}

void gossip_task::update(const std::function<void(membership::detector&, core::time_point)>& change)
{
    change(this->protocol, this->loop->now());
    this->schedule();
}

void gossip_task::contact(const std::vector<core::socket_address>& addresses)
{
    this->act_on(this->protocol.contact_seeds(addresses, *this->random));
}

void gossip_task::check(const std::vector<core::node_id>& ids)
{
    this->act_on(this->protocol.check(ids, this->loop->now()));
    this->schedule();
}

void gossip_task::leave()
{
    this->act_on(this->protocol.leave(this->loop->now(), *this->random));
}

std::vector<membership::member> gossip_task::members() const
{
    return this->protocol.members();
}

void gossip_task::handle_datagram(const core::socket_address& from, std::string_view bytes)
{
    ++this->totals.datagrams_in;
    this->totals.bytes_in += bytes.size();
    std::error_code error;
    const auto message = wire::decode(bytes, this->parameters.cluster_secret, error);
    if (!message)
    {
        ++this->totals.refused;
        return;
    }
    std::visit(
        detail::overloaded{[&](const membership::message& received)
                           { this->act_on(this->protocol.receive(from, received, this->loop->now(), *this->random)); },
                           [&](const wire::idle_hint& hint)
                           {
                               if (this->events.on_idle_hint)
                               {
                                   this->events.on_idle_hint(hint.node, hint.free_slots);
                               }
                           },
                           [&](const wire::slowdown_notice& notice)
                           {
                               if (this->events.on_slowdown_notice)
                               {
                                   this->events.on_slowdown_notice(notice.node, notice.slowdown_percent);
                               }
                           },
                           [&](const wire::evacuation_notice& notice)
                           {
                               if (this->events.on_evacuation_notice)
                               {
                                   this->events.on_evacuation_notice(from, notice);
                               }
                           },
                           [&](const wire::quota_reports& reports)
                           {
                               if (this->events.on_quota_reports)
                               {
                                   this->events.on_quota_reports(from, reports);
                               }
                           },
                           [&](const wire::quota_decisions& decisions)
                           {
                               if (this->events.on_quota_decisions)
                               {
                                   this->events.on_quota_decisions(decisions);
                               }
                           }},
        *message);
    this->schedule();
}

void gossip_task::act_on(const membership::detector_output& output)
{
    for (const auto& outgoing : output.messages)
    {
        this->send(outgoing.to, wire::encode(outgoing.message, this->parameters.cluster_secret));
    }
    for (const auto& event : output.events)
    {
        log_event(this->parameters.group, event);
        if (event.change == membership::member_change::superseded && this->events.on_superseded)
        {
            this->events.on_superseded();
        }
    }
    if (!output.events.empty() && this->events.on_events)
    {
        this->events.on_events(output.events);
    }
    if (!output.events.empty() && this->events.on_members)
    {
        this->events.on_members(this->members());
    }
    if (output.probe_timed_out && this->events.on_probe_timeout)
    {
        this->events.on_probe_timeout();
    }
}

void gossip_task::send(const core::socket_address& to, const std::string& bytes)
{
    if (this->socket.send(to, bytes))
    {
        ++this->totals.datagrams_out;
        this->totals.bytes_out += bytes.size();
    }
}

void gossip_task::schedule()
{
    this->wakeup.schedule(this->protocol.next_wakeup() - this->loop->now());
}

} // namespace poplarport::node
