#include "poplarport/mesh/entry.hpp"

#include <algorithm> // max, min
#include <chrono>    // milliseconds
#include <utility>   // move

#include "poplarport/mesh/errors.hpp"
#include "poplarport/node/errors.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::mesh
{

namespace
{

constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int content_too_large = 413;
constexpr int service_unavailable = 503;

// Time after which an overloaded service, or a node without configuration, is worth another try.
constexpr std::chrono::milliseconds retry_after{100};

// Refusals by receivers before a request reached an upstream that one request may meet.
constexpr std::uint32_t free_retries = 4;

// Part of the installation's allowance that a node spends on repeats of its own. The calls that a repeated request
// makes count as repeats at the services that it calls, and the nodes there cannot tell them from others.
constexpr double direct_share = 0.35;

// Requests of lower ranks share one.
constexpr std::uint32_t lowest_rank = 3;

constexpr std::string_view http_scheme = "http://";

struct located_target
{
    std::string host;
    std::string path;
};

// A target in absolute form names the host itself; it must be the one in Host.
std::optional<located_target> locate(const http::request_header& head)
{
    const auto* const field = head.fields.find("Host");
    const std::string_view host = field == nullptr ? std::string_view{} : std::string_view{*field};
    const std::string_view target = head.target;
    if (target.starts_with('/'))
    {
        return located_target{std::string{host}, std::string{target}};
    }
    if (!target.starts_with(http_scheme))
    {
        return std::nullopt;
    }
    const auto rest = target.substr(http_scheme.size());
    const auto slash = rest.find('/');
    const auto authority = rest.substr(0, slash);
    if (slash == std::string_view::npos || routes::normalize_host(authority) != routes::normalize_host(host))
    {
        return std::nullopt;
    }
    return located_target{std::string{authority}, std::string{rest.substr(slash)}};
}

void log_end(const node::call_description& description, const node::call_result& result, const std::string& route,
             core::version configuration, core::duration time_left)
{
    if (!observability::is_request_logged(observability::log_level::info, description.id))
    {
        return;
    }
    observability::log_record{"request_ended"}
        .with("id", description.id)
        .with("route", route)
        .with("service", description.service)
        .with("class", description.traffic_class)
        .with("configuration", static_cast<std::int64_t>(configuration))
        .with("status", result.status)
        .with("outcome", core::to_string(result.outcome))
        .with("code", result.code.value())
        .with("attempts", static_cast<std::int64_t>(result.attempts))
        .with("took_us", result.latency)
        .with("time_left_us", time_left)
        .write(observability::log_level::info);
}

} // namespace

entry::entry(net::event_loop& owner, const mesh_settings& values, const adapter& installation, std::mt19937_64& engine,
             hooks hooks_of_node)
    : loop(&owner), settings(&values), site(&installation), random(&engine), events(std::move(hooks_of_node))
{
    this->server = std::make_unique<http::server>(
        http::server::builder{}
            .listen_on(values.listen.callers)
            .on_request([this](const std::shared_ptr<http::server_exchange>& exchange)
                        { this->handle_request(exchange); })
            .on_refusal([this](std::error_code reason, http::response_header&) { this->events.on_refused(reason); })
            .overlap_if([this](const http::request_header& head) { return this->is_repeatable(head); })
            .build(owner));
}

entry::~entry() = default;

void entry::apply(std::shared_ptr<const routes::route_table> value)
{
    this->table = std::move(value);
    this->shares.retain(this->table->source());
    this->max_time_limits.clear();
    const auto& limits = this->table->source().limits;
    http::server::limits chosen;
    chosen.header_bytes = limits.header_bytes;
    chosen.header_timeout = limits.header_timeout;
    chosen.idle_timeout = limits.idle_timeout;
    this->server->set_limits(chosen);
}

void entry::drain()
{
    this->server->drain();
}

void entry::close_idle()
{
    this->server->close_idle();
}

void entry::stop_listening()
{
    this->server->stop_listening();
}

void entry::handle_request(const std::shared_ptr<http::server_exchange>& exchange)
{
    const auto context = this->identify(*exchange);
    if (!context)
    {
        return;
    }
    if (exchange->request().content_length > this->table->source().limits.body_bytes)
    {
        this->refuse(*exchange, content_too_large, node::errc::body_too_large, context->caller.id);
        return;
    }
    this->begin_call(exchange, *context);
}

bool entry::is_repeatable(const http::request_header& head) const
{
    const auto target = this->table ? locate(head) : std::nullopt;
    const auto* const route = target ? this->table->find(target->host, target->path) : nullptr;
    return route != nullptr && route->repeatable;
}

std::optional<entry::call_context> entry::identify(http::server_exchange& exchange)
{
    const auto& head = exchange.request();
    auto caller = this->site->read_request(head);
    if (!caller)
    {
        this->refuse(exchange, bad_request, errc::unreadable_request, {});
        return std::nullopt;
    }
    const auto target = locate(head);
    if (!target)
    {
        this->refuse(exchange, bad_request, errc::authority_mismatch, caller->id);
        return std::nullopt;
    }
    if (!this->table)
    {
        this->refuse(exchange, service_unavailable, errc::no_configuration, caller->id);
        return std::nullopt;
    }
    const auto* const route = this->table->find(target->host, target->path);
    if (route == nullptr)
    {
        this->refuse(exchange, not_found, errc::no_route, caller->id);
        return std::nullopt;
    }
    return call_context{route, this->shares.next(*route).service, std::move(*caller)};
}

void entry::begin_call(const std::shared_ptr<http::server_exchange>& exchange, const call_context& context)
{
    const auto& route = *context.route;
    const auto number = ++this->last_call;
    const auto limit = std::min(context.caller.time_left.value_or(route.timeout), route.timeout);
    node::call_description description;
    description.id = context.caller.id;
    description.service = context.service;
    description.tenant = "-";
    description.traffic_class = std::to_string(std::min(route.rank, lowest_rank)) + ":" + route.name;
    description.repeatable = route.repeatable;
    // After a pause of this process the request may have waited for as long as the loop is late.
    description.deadline = this->loop->now() + limit - this->loop->stall();
    if (route.rank != 0)
    {
        // A repetition by the caller has less time left than the longest that this route has seen.
        auto& longest = this->max_time_limits[route.name];
        longest = std::max(longest, context.caller.time_left.value_or(route.timeout));
        const auto elapsed = longest - context.caller.time_left.value_or(route.timeout);
        description.target = this->loop->now() + route.response_target - elapsed;
    }
    description.body_limit_bytes = this->table->source().limits.body_bytes;
    description.max_buffered_response_bytes = node::body_buffer_bytes;

    attempts::call_request request;
    request.repeatable = route.repeatable;
    request.deadline = description.deadline;
    attempts::call_limits limits;
    limits.attempts = std::max(route.attempts, 1U);
    limits.free_retries = free_retries;
    limits.redirects_after_shed = false;
    node::call_driver::hooks driver_hooks;
    driver_hooks.open = this->events.open;
    driver_hooks.retry_after = [](const node::call_description&) -> std::optional<core::duration>
    {
        return retry_after;
    };
    driver_hooks.on_finished =
        [this, number, description, route_name = route.name, version = this->table->version()](const auto& result)
    {
        log_end(description, result, route_name, version, description.deadline - this->loop->now());
        this->end_call(number, description, result);
    };
    const auto driver =
        std::make_shared<node::call_driver>(*this->loop, exchange, this->site->protocol, description, request, limits,
                                            this->budget_of(context.service), *this->random, std::move(driver_hooks));
    this->calls.emplace(number, driver);
    driver->start();
}

void entry::end_call(std::uint64_t number, const node::call_description& description, const node::call_result& result)
{
    this->events.on_finished(description, result);
    this->calls.erase(number);
}

void entry::refuse(http::server_exchange& exchange, int status, std::error_code reason, core::request_id id)
{
    this->events.on_refused(reason);
    if (observability::is_request_logged(observability::log_level::info, id))
    {
        observability::log_record{"request_refused"}
            .with("id", id)
            .with("target", exchange.request().target)
            .with("configuration", static_cast<std::int64_t>(this->table ? this->table->version() : 0))
            .with("status", status)
            .with("code", reason.value())
            .with("reason", reason.message())
            .write(observability::log_level::info);
    }
    node::call_description description;
    description.id = std::move(id);
    node::local_response_reason why{core::outcome::not_run, reason, status, std::nullopt};
    if (status == service_unavailable)
    {
        why.retry_after = retry_after;
    }
    auto answer = this->site->protocol.make_local_response(description, why);
    http::respond(exchange, std::move(answer.head), answer.body);
}

attempts::retry_budget& entry::budget_of(const std::string& service)
{
    auto& budget = this->budgets[service];
    if (!budget)
    {
        attempts::retry_budget_settings values;
        values.window = this->settings->retry.window;
        budget = std::make_unique<attempts::retry_budget>(values);
    }
    const auto nodes = static_cast<double>(std::max<std::size_t>(this->events.node_count(), 1));
    const auto reserve = static_cast<double>(this->settings->retry.reserve);
    budget->set_limits(this->settings->retry.ratio * direct_share,
                       static_cast<std::uint64_t>(reserve * direct_share / nodes));
    return *budget;
}

} // namespace poplarport::mesh
