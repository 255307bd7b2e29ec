#include <utility> // move

#include <nlohmann/json.hpp>

#include "poplarport/json_text/json_text.hpp"
#include "poplarport/node/detail/node_state.hpp"

namespace poplarport::node
{

namespace
{

const char* to_string(membership::member_state state)
{
    switch (state)
    {
    case membership::member_state::alive:
        return "alive";
    case membership::member_state::suspect:
        return "suspect";
    case membership::member_state::dead:
        return "dead";
    case membership::member_state::left:
        break;
    }
    return "left";
}

nlohmann::json to_json(const membership::member& member)
{
    return {{"id", member.id},
            {"availability_zone", member.availability_zone},
            {"state", to_string(member.state)},
            {"draining", member.draining},
            {"peer_address", core::to_string(member.peer_address)},
            {"http_address", core::to_string(member.http_address)},
            {"configuration_version", member.configuration_version}};
}

} // namespace

void node::state::add_routes(control::server::builder& builder)
{
    builder.route("GET", "/health",
                  [](const control::request&, const control::responder& responder)
                  { responder.send({.body = "alive\n"}); });
    builder.route("GET", "/ready",
                  [this](const control::request&, const control::responder& responder)
                  {
                      const bool ready = this->is_ready();
                      responder.send({.status = ready ? control::status::ok : control::status::unavailable,
                                      .body = ready ? "ready\n" : "not ready\n"});
                  });
    builder.route("GET", "/status",
                  [this](const control::request&, const control::responder& responder)
                  { responder.send({.content_type = control::json_type, .body = this->status_text()}); });
    builder.route("GET", "/metrics",
                  [this](const control::request&, const control::responder& responder)
                  { responder.send({.content_type = control::metrics_type, .body = this->metrics.text()}); });
    builder.route("POST", "/drain",
                  [this](const control::request&, const control::responder& responder)
                  {
                      responder.send({.content_type = control::json_type, .body = "{\"draining\":true}\n"});
                      this->loop->post([this] { this->drain(); });
                  });
}

bool node::state::is_ready() const
{
    return !this->draining && this->local_receiver != nullptr && this->are_called_services_ready();
}

std::string node::state::status_text() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const auto& member : this->membership->members())
    {
        members.push_back(to_json(member));
    }
    nlohmann::json services = nlohmann::json::object();
    services[this->settings.service] = this->configuration->version_of(this->settings.service);
    for (const auto& [name, entry] : this->called_services)
    {
        services[name] = this->configuration->version_of(name);
    }
    nlohmann::json status{{"node", this->settings.id},
                          {"service", this->settings.service},
                          {"availability_zone", this->settings.availability_zone},
                          {"ready", this->is_ready()},
                          {"draining", this->draining},
                          {"configuration_versions", std::move(services)},
                          {"members", std::move(members)},
                          {"calls_in_progress", this->callers->calls_in_progress()},
                          {"connections", this->callers->connection_count()}};
    if (this->local_receiver)
    {
        const auto load = this->local_receiver->load();
        status["load"] = {{"slots", load.slots},
                          {"in_flight", load.in_flight},
                          {"queued", load.queued},
                          {"service_time_us", load.service_time.count()}};
    }
    return json_text::dump(status, 2) + "\n";
}

void node::state::add_gauges()
{
    const auto add = [this](const char* name, const char* help, auto value)
    {
        this->metrics.add_gauge(name, help, [value] { return static_cast<double>(value()); });
    };
    add("poplarport_calls_in_progress", "Calls of callers in progress.",
        [this] { return this->callers->calls_in_progress(); });
    add("poplarport_caller_connections", "Open connections of callers.",
        [this] { return this->callers->connection_count(); });
    add("poplarport_members", "Live members of the node's service.",
        [this] { return this->membership->members().size(); });
    add("poplarport_configuration_version", "Version of the node's service that is in force.",
        [this] { return this->configuration->version_of(this->settings.service); });
    add("poplarport_configuration_older_offers", "Offers of older versions that were refused.",
        [this] { return this->configuration->rejected_older_documents(); });
    add("poplarport_platform_calls", "Calls to the platform, a watch counted as one.",
        [this] { return this->platform.calls(); });
    add("poplarport_platform_failures", "Calls to the platform without a usable answer.",
        [this] { return this->platform.failures(); });
    add("poplarport_membership_bytes_out", "Bytes of membership datagrams sent.",
        [this] { return this->membership->traffic().bytes_out; });
    add("poplarport_membership_bytes_in", "Bytes of membership datagrams received.",
        [this] { return this->membership->traffic().bytes_in; });
    add("poplarport_membership_datagrams_refused", "Datagrams that were damaged or not authentic.",
        [this] { return this->membership->traffic().refused; });
    add("poplarport_measuring_bytes_spent", "Bytes spent on load measurement.",
        [this] { return this->measuring_budget.spent().bytes; });
    add("poplarport_measuring_bytes_budget_per_second", "Budget of load measurement in bytes per second.",
        [this] { return this->measuring_budget.limit().per_window.bytes; });
    add("poplarport_measuring_processor_nanoseconds_spent", "Processor time spent on load measurement.",
        [this] { return this->measuring_budget.spent().processor_time.count(); });
    add("poplarport_measuring_refused", "Measuring messages that the budget did not allow.",
        [this] { return this->measuring_budget.refused(); });
    add("poplarport_peer_silent_connections", "Connections to peers that went silent.",
        [this] { return this->local_router->link_counters().silent; });
    add("poplarport_upstream_requests_dispatched", "Requests sent to the upstream.",
        [this] { return this->local_receiver ? this->local_receiver->statistics().dispatched : 0; });
    add("poplarport_upstream_requests_refused", "Requests that admission refused.",
        [this] { return this->local_receiver ? this->local_receiver->statistics().refused : 0; });
}

} // namespace poplarport::node
