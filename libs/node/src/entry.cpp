#include "poplarport/node/entry.hpp"

#include <algorithm>   // clamp, min
#include <charconv>    // from_chars
#include <chrono>      // ceil, milliseconds, seconds
#include <string_view> // string_view
#include <utility>     // move

#include "poplarport/http/errors.hpp"
#include "poplarport/limits/errors.hpp"
#include "poplarport/manifest/errors.hpp"
#include "poplarport/node/detail/forwarding.hpp"
#include "poplarport/node/errors.hpp"

namespace poplarport::node
{

namespace
{

constexpr int bad_request = 400;
constexpr int unauthorized = 401;
constexpr int forbidden = 403;
constexpr int not_found = 404;
constexpr int content_too_large = 413;
constexpr int too_many_requests = 429;
constexpr int service_unavailable = 503;

constexpr std::chrono::seconds housekeeping_interval{30};

// Bounds of the call metadata between nodes; larger values from a caller are reduced to them.
constexpr std::uint32_t max_depth = 100;
constexpr std::uint32_t max_attempt_number = 1000;

std::optional<std::string_view> find_field(const http::request_header& header, std::string_view name)
{
    const auto* const value = header.fields.find(name);
    return value == nullptr ? std::nullopt : std::optional<std::string_view>{*value};
}

std::optional<std::uint32_t> parse_number(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool is_complete = error == std::errc{} && end == text.data() + text.size();
    return is_complete ? std::optional{value} : std::nullopt;
}

// Depth and attempt number only restrict retries, so a missing or malformed value is replaced by the default.
std::uint32_t call_chain_number(const http::request_header& header, std::string_view name, std::uint32_t fallback,
                                std::uint32_t max_value)
{
    const auto text = find_field(header, name);
    const auto value = text ? parse_number(*text) : std::nullopt;
    return value ? std::min(*value, max_value) : fallback;
}

} // namespace

entry::entry(net::event_loop& event_loop, const core::socket_address& address,
             const manifest::service_directory& services, std::mt19937_64& random_engine, std::string name,
             hooks callbacks)
    : loop(&event_loop), directory(&services), random(&random_engine), node_name(std::move(name)),
      events(std::move(callbacks)), housekeeping(event_loop,
                                                 [this]
                                                 {
                                                     this->limiter.drop_idle(this->loop->now());
                                                     this->housekeeping.schedule(housekeeping_interval);
                                                 })
{
    const auto on_refusal = [this](std::error_code reason, http::response_header& header)
    {
        detail::add_outcome(header, core::outcome::not_run, reason, {});
        this->events.on_refused(reason);
    };
    this->server =
        std::make_unique<http::server>(http::server::builder{}
                                           .listen_on(address)
                                           .listen_later()
                                           .on_request([this](const std::shared_ptr<http::server_exchange>& exchange)
                                                       { this->handle_request(exchange); })
                                           .on_refusal(on_refusal)
                                           .build(event_loop));
    this->housekeeping.schedule(housekeeping_interval);
}

entry::~entry() = default;

core::socket_address entry::address() const
{
    return this->server->address();
}

void entry::drain()
{
    this->server->drain();
}

void entry::close_idle()
{
    this->server->close_idle();
}

void entry::start_listening()
{
    this->server->start_listening();
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
    const auto& rules = context->document->rules;
    if (exchange->request().content_length > rules.upstream.body_limit_bytes)
    {
        this->refuse(*exchange, content_too_large, errc::body_too_large);
        return;
    }
    const auto deadline = this->deadline_of(*exchange, rules);
    if (!deadline || !this->apply_limits(*exchange, *context))
    {
        return;
    }
    this->begin_call(exchange, *context, *deadline);
}

std::optional<entry::request_context> entry::identify(http::server_exchange& exchange)
{
    const auto& header = exchange.request();
    const auto host = find_field(header, "Host").value_or(std::string_view{});
    auto document = this->directory->find(find_field(header, "Poplar-Service"), host);
    if (!document)
    {
        const auto service = find_field(header, "Poplar-Service").value_or(host);
        if (this->events.is_called_service && this->events.is_called_service(service))
        {
            this->refuse(exchange, service_unavailable, errc::no_configuration);
            return std::nullopt;
        }
        this->refuse(exchange, not_found, manifest::errc::service_not_found);
        return std::nullopt;
    }
    const auto found = manifest::authenticate(*document, find_field(header, "Authorization"));
    if (found.result != manifest::verdict::valid)
    {
        const bool is_forbidden = found.result == manifest::verdict::not_admitted;
        this->refuse(exchange, is_forbidden ? forbidden : unauthorized, manifest::to_error_code(found.result));
        return std::nullopt;
    }
    return request_context{std::move(document), found.limits};
}

std::optional<core::duration> entry::deadline_of(http::server_exchange& exchange, const manifest::service& rules)
{
    const auto text = find_field(exchange.request(), "Poplar-Deadline-Ms");
    if (!text)
    {
        return rules.upstream.default_deadline;
    }
    const auto value = parse_number(*text);
    if (!value || *value == 0)
    {
        this->refuse(exchange, bad_request, errc::malformed_deadline);
        return std::nullopt;
    }
    return std::min<core::duration>(std::chrono::milliseconds{*value}, rules.upstream.max_deadline);
}

bool entry::apply_limits(http::server_exchange& exchange, const request_context& context)
{
    const limits::tenant_limit limit{context.tenant->rate_per_second, context.tenant->burst,
                                     context.tenant->concurrency};
    const auto verdict = this->limiter.admit(context.tenant->tenant, limit, this->loop->now());
    if (verdict.refused)
    {
        this->refuse(exchange, too_many_requests, verdict.refused, verdict.retry_after);
        return false;
    }
    return true;
}

void entry::begin_call(const std::shared_ptr<http::server_exchange>& exchange, const request_context& context,
                       core::duration deadline)
{
    const auto& header = exchange->request();
    const auto& rules = context.document->rules;
    const auto lookup = [&header](std::string_view name)
    {
        return find_field(header, name);
    };
    call_description description;
    description.id = this->make_request_id();
    description.service = rules.name;
    description.tenant = context.tenant->tenant;
    description.traffic_class = manifest::find_class(rules, header.target, lookup).name;
    description.repeatable = manifest::is_repeatable(rules, header.method, header.target);
    // After a pause of this process the request may have waited as long as the event loop was stalled.
    description.deadline = this->loop->now() + deadline - this->loop->stall();
    description.depth = call_chain_number(header, "Poplar-Depth", 0, max_depth);
    description.attempt = std::max(call_chain_number(header, "Poplar-Attempt", 1, max_attempt_number), 1U);
    description.body_limit_bytes = rules.upstream.body_limit_bytes;

    attempts::call_request request;
    request.repeatable = description.repeatable;
    request.deadline = description.deadline;
    request.depth = description.depth;
    request.attempt_number = description.attempt;
    if (rules.attempts.hedge_delay.count() > 0)
    {
        request.hedge_delay = rules.attempts.hedge_delay;
    }
    call_driver::hooks driver_hooks;
    driver_hooks.open = this->events.open;
    driver_hooks.on_finished = [this, description](const call_result& result)
    {
        this->end_call(description.id, description, result);
    };
    const auto driver = std::make_shared<call_driver>(*this->loop, exchange, this->protocol, description, request,
                                                      attempts::call_limits{}, this->budget_of(rules), *this->random,
                                                      std::move(driver_hooks));
    this->calls.emplace(description.id, driver);
    driver->start();
}

void entry::end_call(const core::request_id& id, const call_description& description, const call_result& result)
{
    this->limiter.release(description.tenant);
    this->events.on_finished(description, result);
    this->calls.erase(id);
}

void entry::refuse(http::server_exchange& exchange, int status, std::error_code reason,
                   std::optional<core::duration> retry_after)
{
    this->events.on_refused(reason);
    http::response_header header;
    header.status = status;
    header.fields.add("Content-Type", "application/json");
    if (status == unauthorized)
    {
        header.fields.add("WWW-Authenticate", "Bearer realm=\"poplarport\"");
    }
    if (retry_after)
    {
        header.fields.add("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(*retry_after).count()));
    }
    const auto id = this->make_request_id();
    detail::add_outcome(header, core::outcome::not_run, reason, id);
    http::respond(exchange, std::move(header), detail::make_error_body(core::outcome::not_run, reason, id));
}

attempts::retry_budget& entry::budget_of(const manifest::service& rules)
{
    auto& budget = this->budgets[rules.name];
    if (!budget)
    {
        constexpr double per_mille = 1000.0;
        attempts::retry_budget_settings settings;
        settings.ratio = static_cast<double>(rules.attempts.retry_budget_per_mille) / per_mille;
        budget = std::make_unique<attempts::retry_budget>(settings);
    }
    return *budget;
}

core::request_id entry::make_request_id()
{
    return this->node_name + "-" + std::to_string((*this->random)() & 0xffffffffU) + "-" +
           std::to_string(++this->last_request);
}

} // namespace poplarport::node
