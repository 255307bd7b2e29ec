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

// The bounds of the call metadata between nodes; a caller's greater value is taken as the bound.
constexpr std::uint32_t greatest_depth = 100;
constexpr std::uint32_t greatest_attempt = 1000;

std::optional<std::string_view> find_field(const http::request_header& head, std::string_view name)
{
    const auto* const value = head.fields.find(name);
    return value == nullptr ? std::nullopt : std::optional<std::string_view>{*value};
}

std::optional<std::uint32_t> parse_number(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional{value} : std::nullopt;
}

// Depth and attempt only restrict retries, so a missing or malformed value is taken as the given default.
std::uint32_t path_number(const http::request_header& head, std::string_view name, std::uint32_t fallback,
                          std::uint32_t greatest)
{
    const auto text = find_field(head, name);
    const auto value = text ? parse_number(*text) : std::nullopt;
    return value ? std::min(*value, greatest) : fallback;
}

} // namespace

entry::entry(net::event_loop& owner, const core::socket_address& address, const manifest::service_directory& services,
             std::mt19937_64& engine, std::string name, hooks values)
    : loop(&owner), directory(&services), random(&engine), node_name(std::move(name)), events(std::move(values)),
      housekeeping(owner,
                   [this]
                   {
                       this->limiter.drop_idle(this->loop->now());
                       this->housekeeping.schedule(housekeeping_interval);
                   })
{
    const auto on_refusal = [this](std::error_code reason, http::response_header& head)
    {
        detail::add_outcome(head, core::outcome::not_run, reason, {});
        this->events.on_refused(reason);
    };
    this->server =
        std::make_unique<http::server>(http::server::builder{}
                                           .listen_on(address)
                                           .listen_later()
                                           .on_request([this](const std::shared_ptr<http::server_exchange>& exchange)
                                                       { this->handle_request(exchange); })
                                           .on_refusal(on_refusal)
                                           .build(owner));
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
    const auto& head = exchange.request();
    const auto host = find_field(head, "Host").value_or(std::string_view{});
    auto document = this->directory->find(find_field(head, "Poplar-Service"), host);
    if (!document)
    {
        const auto service = find_field(head, "Poplar-Service").value_or(host);
        if (this->events.is_called_service && this->events.is_called_service(service))
        {
            this->refuse(exchange, service_unavailable, errc::no_configuration);
            return std::nullopt;
        }
        this->refuse(exchange, not_found, manifest::errc::service_not_found);
        return std::nullopt;
    }
    const auto found = manifest::authenticate(*document, find_field(head, "Authorization"));
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
    const auto& head = exchange->request();
    const auto& rules = context.document->rules;
    const auto lookup = [&head](std::string_view name)
    {
        return find_field(head, name);
    };
    call_description description;
    description.id = this->make_request_id();
    description.service = rules.name;
    description.tenant = context.tenant->tenant;
    description.traffic_class = manifest::find_class(rules, head.target, lookup).name;
    description.repeatable = manifest::is_repeatable(rules, head.method, head.target);
    // After a pause of this process the request may have waited for as long as the loop is late.
    description.deadline = this->loop->now() + deadline - this->loop->stall();
    description.depth = path_number(head, "Poplar-Depth", 0, greatest_depth);
    description.attempt = std::max(path_number(head, "Poplar-Attempt", 1, greatest_attempt), 1U);
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
    http::response_header head;
    head.status = status;
    head.fields.add("Content-Type", "application/json");
    if (status == unauthorized)
    {
        head.fields.add("WWW-Authenticate", "Bearer realm=\"poplarport\"");
    }
    if (retry_after)
    {
        head.fields.add("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(*retry_after).count()));
    }
    const auto id = this->make_request_id();
    detail::add_outcome(head, core::outcome::not_run, reason, id);
    http::respond(exchange, std::move(head), detail::make_error_body(core::outcome::not_run, reason, id));
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
