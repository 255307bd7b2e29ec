#include "poplarport/mesh/entry.hpp"

#include <algorithm> // clamp, max, min
#include <chrono>    // milliseconds
#include <utility>   // move

#include "poplarport/admission/response_target.hpp"
#include "poplarport/admission/retry_after.hpp"
#include "poplarport/mesh/errors.hpp"
#include "poplarport/node/errors.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::mesh
{

namespace
{

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int not_found = 404;
constexpr int content_too_large = 413;
constexpr int too_many_requests = 429;
constexpr int service_unavailable = 503;

// Retries of one request, after refusals by receivers before an upstream received it, that the retry budget does not
// count.
constexpr std::uint32_t free_retries = 4;

// A repeatable request without a response is sent to a second endpoint after this multiple of the usual latency: the
// first one is then probably on a slow VM, or its node has died and is not known to be dead yet.
constexpr int hedge_latency_factor = 2;
constexpr std::chrono::milliseconds min_hedge_delay{50};

// Part of the retry budget that such second attempts may use; the rest is left for retries after failures.
constexpr double hedge_budget_fraction = 0.5;

// An attempt that starts with less than this part of the usual latency left cannot end in time.
constexpr int min_time_left_divisor = 2;
constexpr std::chrono::milliseconds max_min_time_left{200};

// During a planned stop, an attempt starts only if this multiple of the usual latency is left until the stop.
constexpr int stop_time_factor = 2;

// Fraction of the installation's retry budget that the nodes spend on retries that they start themselves. A retried
// request makes its nested calls again; these are retries too, but the nodes that handle them cannot recognise them.
constexpr double direct_retry_fraction = 0.35;

// Routes with a higher priority number, which are less urgent, use the traffic class of this priority.
constexpr std::uint32_t lowest_priority = 3;

// Maximum size of a response that is buffered while later requests of its connection are in progress, and of all such
// responses of a node; the smallest VMs have 160 MB.
constexpr std::size_t max_pipelined_response_bytes = 1U << 20U;
constexpr std::size_t pipelined_responses_budget_bytes = 16U << 20U;

constexpr std::string_view http_scheme = "http://";

struct parsed_target
{
    std::string host;
    std::string path;
};

// A request target in absolute form contains the host, which must match the Host field.
std::optional<parsed_target> parse_target(const http::request_header& header)
{
    const auto* const field = header.fields.find("Host");
    const std::string_view host = field == nullptr ? std::string_view{} : std::string_view{*field};
    const std::string_view target = header.target;
    if (target.starts_with('/'))
    {
        return parsed_target{std::string{host}, std::string{target}};
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
    return parsed_target{std::string{authority}, std::string{rest.substr(slash)}};
}

void log_call(const node::call_description& description, const node::call_result& result, const std::string& route,
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
        .with("tenant", description.tenant)
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

entry::entry(net::event_loop& owner, const mesh_settings& node_settings, const adapter& installation_adapter,
             std::mt19937_64& random_engine, hooks node_hooks)
    : loop(&owner), settings(&node_settings), platform_adapter(&installation_adapter), random(&random_engine),
      events(std::move(node_hooks)), pipelined_responses(pipelined_responses_budget_bytes)
{
    this->server = std::make_unique<http::server>(
        http::server::builder{}
            .listen_on(node_settings.listen.callers)
            .on_request([this](const std::shared_ptr<http::server_exchange>& exchange)
                        { this->handle_request(exchange); })
            .on_refusal([this](std::error_code reason, http::response_header&) { this->events.on_refused(reason); })
            .overlap_if([this](const http::request_header& header) { return this->is_repeatable(header); })
            .build(owner));
}

entry::~entry() = default;

void entry::apply(std::shared_ptr<const routes::route_table> new_table)
{
    this->table = std::move(new_table);
    this->shares.retain(this->table->source());
    this->max_time_limits.clear();
    const auto& limits = this->table->source().limits;
    http::server::limits server_limits;
    server_limits.header_bytes = limits.header_bytes;
    server_limits.header_timeout = limits.header_timeout;
    server_limits.idle_timeout = limits.idle_timeout;
    this->server->set_limits(server_limits);
}

void entry::drain(core::time_point stop_time)
{
    this->stops_at = stop_time;
    this->server->drain();
}

void entry::end_calls()
{
    const auto in_progress = this->calls;
    for (const auto& [number, driver] : in_progress)
    {
        driver->expire();
    }
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
    if (!this->is_admitted(*exchange, *context))
    {
        return;
    }
    this->begin_call(exchange, *context);
}

bool entry::is_repeatable(const http::request_header& header) const
{
    const auto target = this->table ? parse_target(header) : std::nullopt;
    const auto* const route = target ? this->table->find(target->host, target->path) : nullptr;
    return route != nullptr && route->repeatable;
}

std::optional<entry::call_context> entry::identify(http::server_exchange& exchange)
{
    const auto& header = exchange.request();
    auto caller = this->platform_adapter->read_request(header);
    if (!caller)
    {
        this->refuse(exchange, bad_request, errc::unreadable_request, {});
        return std::nullopt;
    }
    const auto target = parse_target(header);
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
    const tenants::tenant* tenant = nullptr;
    if (this->table->source().has_tenants)
    {
        const auto identified = this->table->tenants().identify(this->platform_adapter->read_keys(header));
        if (identified.error && !route->is_public)
        {
            this->refuse(exchange, unauthorized, identified.error, caller->id);
            return std::nullopt;
        }
        tenant = identified.identified;
    }
    return call_context{route, this->shares.next(*route).service, std::move(*caller), tenant};
}

bool entry::is_admitted(http::server_exchange& exchange, const call_context& context)
{
    if (context.tenant == nullptr)
    {
        return true;
    }
    const auto verdict = this->events.admit_tenant(*context.tenant);
    if (!verdict.refused)
    {
        return true;
    }
    this->refuse(exchange, too_many_requests, verdict.refused, context.caller.id, verdict.retry_after,
                 context.tenant->name);
    return false;
}

void entry::begin_call(const std::shared_ptr<http::server_exchange>& exchange, const call_context& context)
{
    const auto& route = *context.route;
    const auto number = ++this->last_call_number;
    const auto limit = std::min(context.caller.time_left.value_or(route.timeout), route.timeout);
    node::call_description description;
    description.id = context.caller.id;
    description.service = context.service;
    description.tenant = context.tenant == nullptr ? std::string{} : context.tenant->name;
    description.has_tenants = this->table->source().has_tenants;
    const auto priority =
        context.tenant == nullptr ? route.priority : context.tenant->priority.value_or(route.priority);
    description.traffic_class = std::to_string(std::min(priority, lowest_priority)) + ":" + route.name;
    description.repeatable = route.repeatable;
    // After a pause of the process, the request may have waited for as long as the event loop is late.
    description.deadline = this->loop->now() + limit - this->loop->stall();
    if (this->stops_at)
    {
        description.deadline = std::min(description.deadline, *this->stops_at);
    }
    // A retry by the caller has less time left than the maximum that the route has received.
    auto& max_limit = this->max_time_limits[route.name];
    max_limit = std::max(max_limit, context.caller.time_left.value_or(route.timeout));
    admission::response_target_request target_request;
    target_request.target = route.response_target;
    target_request.elapsed = max_limit - context.caller.time_left.value_or(route.timeout);
    target_request.priority = priority;
    // With tenants, upstreams call public routes without a key.
    target_request.is_nested = description.has_tenants && context.tenant == nullptr;
    if (const auto target = admission::response_target(target_request))
    {
        description.target = this->loop->now() + *target;
    }
    description.body_limit_bytes = this->table->source().limits.body_bytes;
    description.max_buffered_response_bytes = node::body_buffer_bytes;
    description.max_pipelined_response_bytes = max_pipelined_response_bytes;

    attempts::call_request request;
    request.repeatable = route.repeatable;
    request.deadline = description.deadline;
    const auto usual_latency = this->latencies.of(route.name);
    if (usual_latency > core::duration::zero())
    {
        request.hedge_delay = std::max<core::duration>(usual_latency * hedge_latency_factor, min_hedge_delay);
    }
    attempts::call_limits limits;
    limits.hedge_budget_fraction = hedge_budget_fraction;
    limits.minimum_time_left =
        std::clamp<core::duration>(usual_latency / min_time_left_divisor, limits.minimum_time_left, max_min_time_left);
    if (this->stops_at)
    {
        // A request that the stop would probably interrupt is refused instead; another node can serve it.
        limits.minimum_time_left = std::max<core::duration>(limits.minimum_time_left, usual_latency * stop_time_factor);
    }
    limits.attempts = std::max(route.attempts, 1U);
    limits.free_retries = free_retries;
    limits.redirects_after_shed = false;
    node::call_driver::hooks driver_hooks;
    driver_hooks.open = this->events.open;
    driver_hooks.pipelined_responses = &this->pipelined_responses;
    driver_hooks.retry_after = [this, priority](const node::call_description& refused) -> std::optional<core::duration>
    {
        return this->retry_after(this->events.expected_wait(refused.service), priority);
    };
    driver_hooks.on_finished =
        [this, number, description, route_name = route.name, version = this->table->version()](const auto& result)
    {
        if (result.outcome == core::outcome::not_run && !description.tenant.empty())
        {
            this->events.give_back(description.tenant);
        }
        if (result.outcome == core::outcome::answered)
        {
            this->latencies.add(route_name, result.latency, this->loop->now());
        }
        log_call(description, result, route_name, version, description.deadline - this->loop->now());
        this->end_call(number, description, result);
    };
    const auto driver = std::make_shared<node::call_driver>(
        *this->loop, exchange, this->platform_adapter->protocol, description, request, limits,
        this->budget_of(context.service), *this->random, std::move(driver_hooks));
    this->calls.emplace(number, driver);
    driver->start();
}

void entry::end_call(std::uint64_t number, const node::call_description& description, const node::call_result& result)
{
    this->events.on_finished(description, result);
    this->calls.erase(number);
}

void entry::refuse(http::server_exchange& exchange, int status, std::error_code reason, core::request_id id,
                   std::optional<core::duration> retry_delay, std::string_view tenant)
{
    this->events.on_refused(reason);
    if (observability::is_request_logged(observability::log_level::info, id))
    {
        observability::log_record{"request_refused"}
            .with("id", id)
            .with("target", exchange.request().target)
            .with("tenant", tenant)
            .with("configuration", static_cast<std::int64_t>(this->table ? this->table->version() : 0))
            .with("status", status)
            .with("code", reason.value())
            .with("reason", reason.message())
            .write(observability::log_level::info);
    }
    node::call_description description;
    description.id = std::move(id);
    node::local_response_reason response_reason{core::outcome::not_run, reason, status, std::nullopt};
    if (status == service_unavailable || retry_delay)
    {
        response_reason.retry_after = this->retry_after(retry_delay, 0);
    }
    auto response = this->platform_adapter->protocol.make_local_response(description, response_reason);
    http::respond(exchange, std::move(response.header), response.body);
}

core::duration entry::retry_after(std::optional<core::duration> expected_wait, std::uint32_t priority) const
{
    return admission::retry_after(expected_wait, priority, *this->random);
}

attempts::retry_budget& entry::budget_of(const std::string& service)
{
    auto& budget = this->budgets[service];
    if (!budget)
    {
        attempts::retry_budget_settings budget_settings;
        budget_settings.window = this->settings->retry.window;
        budget = std::make_unique<attempts::retry_budget>(budget_settings);
    }
    const auto nodes = static_cast<double>(std::max<std::size_t>(this->events.node_count(), 1));
    const auto reserve = static_cast<double>(this->settings->retry.reserve);
    budget->set_limits(this->settings->retry.ratio * direct_retry_fraction, reserve * direct_retry_fraction / nodes);
    return *budget;
}

} // namespace poplarport::mesh
