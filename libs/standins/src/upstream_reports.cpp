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
    return {.slots = this->fixed_settings.slots,
            .in_flight = static_cast<std::uint32_t>(this->running_requests.size()),
            .queued = static_cast<std::uint32_t>(this->queued_requests.size()),
            .service_time = std::chrono::duration_cast<std::chrono::microseconds>(this->average_service_time),
            .draining = this->active_faults.drain != drain_mode::off || this->stopping};
}

void upstream_server::state::record_load()
{
    this->history.record(this->load(), this->loop->now(), this->active_faults.report_lag);
}

core::load_report upstream_server::state::reported_load() const
{
    auto reported = this->history.load_at(this->loop->now() - this->active_faults.report_lag);
    if (this->active_faults.report == report_mode::idle)
    {
        reported.in_flight = 0;
        reported.queued = 0;
        reported.draining = false;
    }
    else if (this->active_faults.report == report_mode::busy)
    {
        reported.in_flight = this->fixed_settings.slots;
        reported.queued = this->fixed_settings.queue;
    }
    return reported;
}

void upstream_server::state::report(const std::shared_ptr<http::server_exchange>& exchange)
{
    if (this->active_faults.freeze)
    {
        this->suspended_reports.push_back(exchange);
        return;
    }
    if (this->active_faults.report_delay.count() == 0)
    {
        this->send_report(*exchange);
        return;
    }
    this->report_timers.remove_if([](const std::unique_ptr<net::timer>& entry) { return !entry->is_scheduled(); });
    this->report_timers.push_back(
        std::make_unique<net::timer>(*this->loop, [this, exchange] { this->send_report(*exchange); }));
    this->report_timers.back()->schedule(this->active_faults.report_delay);
}

void upstream_server::state::send_report(http::server_exchange& exchange) const
{
    const auto reported = this->reported_load();
    http::response_header header{.status = status_ok};
    header.fields.add("Content-Type", "application/json");
    if (exchange.request().target == "/load")
    {
        http::respond(exchange, std::move(header), to_object(reported).dump());
        return;
    }
    const bool is_failing = this->active_faults.report == report_mode::failing;
    header.status = is_failing || reported.draining ? status_unavailable : status_ok;
    const char* const status = is_failing ? "failing" : (reported.draining ? "draining" : "ok");
    http::respond(exchange, std::move(header), nlohmann::json{{"status", status}}.dump());
}

detail::control_response upstream_server::state::handle_control(const detail::control_request& request)
{
    if (request.target == "/faults" && request.method == "POST")
    {
        this->set_faults(merge_faults(this->active_faults, request.body));
        return {status_ok, to_json(this->active_faults)};
    }
    if (request.target == "/faults" && request.method == "GET")
    {
        return {status_ok, to_json(this->active_faults)};
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
        {"name", this->fixed_settings.name},   {"load", to_object(this->load())},
        {"started", this->counts.started},     {"completed", this->counts.completed},
        {"cancelled", this->counts.cancelled}, {"shed", this->counts.shed},
        {"expired", this->counts.expired},     {"connections", this->server->connection_count()}};
    return object.dump();
}

} // namespace poplarport::standins
