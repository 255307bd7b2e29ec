#include <utility> // move

#include <nlohmann/json.hpp>

#include "upstream_state.hpp"

namespace poplarport::standins
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

nlohmann::json to_object(const core::load_report& load)
{
    return {{"slots", load.slots},
            {"in_flight", load.in_flight},
            {"queued", load.queued},
            {"service_time_us", load.service_time.count()},
            {"draining", load.draining}};
}

} // namespace

core::load_report upstream_server::state::load() const
{
    return {.slots = this->chosen.slots,
            .in_flight = static_cast<std::uint32_t>(this->running.size()),
            .queued = static_cast<std::uint32_t>(this->waiting.size()),
            .service_time = std::chrono::duration_cast<std::chrono::microseconds>(this->average_service_time),
            .draining = this->active.drain != drain_mode::off || this->stopping};
}

void upstream_server::state::record_load()
{
    this->history.record(this->load(), this->loop->now(), this->active.report_lag);
}

core::load_report upstream_server::state::reported_load() const
{
    auto shown = this->history.at(this->loop->now() - this->active.report_lag);
    if (this->active.report == report_mode::idle)
    {
        shown.in_flight = 0;
        shown.queued = 0;
        shown.draining = false;
    }
    else if (this->active.report == report_mode::busy)
    {
        shown.in_flight = this->chosen.slots;
        shown.queued = this->chosen.queue;
    }
    return shown;
}

void upstream_server::state::report(const std::shared_ptr<http::server_exchange>& exchange)
{
    if (this->active.freeze)
    {
        this->parked_reports.push_back(exchange);
        return;
    }
    if (this->active.report_delay.count() == 0)
    {
        this->send_report(*exchange);
        return;
    }
    this->report_timers.remove_if([](const std::unique_ptr<net::timer>& entry) { return !entry->is_scheduled(); });
    this->report_timers.push_back(
        std::make_unique<net::timer>(*this->loop, [this, exchange] { this->send_report(*exchange); }));
    this->report_timers.back()->schedule(this->active.report_delay);
}

void upstream_server::state::send_report(http::server_exchange& exchange) const
{
    const auto shown = this->reported_load();
    http::response_header head{.status = status_ok};
    head.fields.add("Content-Type", "application/json");
    if (exchange.request().target == "/load")
    {
        http::respond(exchange, std::move(head), to_object(shown).dump());
        return;
    }
    const bool is_failing = this->active.report == report_mode::failing;
    head.status = is_failing || shown.draining ? status_unavailable : status_ok;
    const char* const status = is_failing ? "failing" : (shown.draining ? "draining" : "ok");
    http::respond(exchange, std::move(head), nlohmann::json{{"status", status}}.dump());
}

detail::control_response upstream_server::state::handle_control(const detail::control_request& request)
{
    if (request.target == "/faults" && request.method == "POST")
    {
        this->set_faults(merge_faults(this->active, request.body));
        return {status_ok, to_json(this->active)};
    }
    if (request.target == "/faults" && request.method == "GET")
    {
        return {status_ok, to_json(this->active)};
    }
    if (request.target == "/status" && request.method == "GET")
    {
        return {status_ok, this->status_body()};
    }
    return {status_not_found, detail::error_body("known: GET and POST /faults, GET /status")};
}

std::string upstream_server::state::status_body() const
{
    const nlohmann::json object{
        {"name", this->chosen.name},           {"load", to_object(this->load())},
        {"started", this->counts.started},     {"completed", this->counts.completed},
        {"cancelled", this->counts.cancelled}, {"shed", this->counts.shed},
        {"expired", this->counts.expired},     {"connections", this->server->connection_count()}};
    return object.dump();
}

} // namespace poplarport::standins
