#include "poplarport/node/configuration_task.hpp"

#include <algorithm> // ranges::find
#include <chrono>    // seconds
#include <utility>   // move
#include <variant>   // visit

#include <nlohmann/json.hpp>

#include "poplarport/node/detail/document_pull.hpp"
#include "poplarport/node/detail/overloaded.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::node
{

namespace
{

// Less than the follower's time limit for a watch, so that a watch without a response indicates a fault of the
// platform.
constexpr std::chrono::seconds watch_wait{20};

std::string object_key(const std::string& service)
{
    return "services/" + service;
}

configuration::follower_settings follower_settings()
{
    configuration::follower_settings settings;
    // Existing members are discovered within a fraction of this time; the first node of a service waits no longer.
    settings.start_wait = std::chrono::seconds{1};
    return settings;
}

std::error_code check_document(const configuration::document& document)
{
    std::error_code error;
    const auto parsed = manifest::parse_document(document.content, error);
    return parsed ? std::error_code{} : error;
}

// After a restore, the platform offers a document whose last change is an earlier one of the held document.
bool is_older_copy(const configuration::document& held, const configuration::document& offered)
{
    std::error_code error;
    const auto present = manifest::parse_document(held.content, error);
    const auto other = manifest::parse_document(offered.content, error);
    if (!present || !other || other->change_id == present->change_id)
    {
        return false;
    }
    return std::ranges::find(present->recent_changes, other->change_id, &manifest::recent_change::id) !=
           present->recent_changes.end();
}

} // namespace

configuration_task::configuration_task(net::event_loop& event_loop, const node_identity& self, platform_client& client,
                                       std::mt19937_64& random_engine, hooks callbacks)
    : loop(&event_loop), identity(&self), platform(&client), random(&random_engine), events(std::move(callbacks)),
      follower(configuration::follower::builder{}
                   .self(self.id)
                   .check(check_document)
                   .older_copy(is_older_copy)
                   .settings(follower_settings())
                   .build()),
      wakeup(event_loop, [this] { this->run(); })
{
}

configuration_task::~configuration_task()
{
    *this->alive = false;
}

void configuration_task::follow(const std::string& service)
{
    this->follower.follow(service, this->loop->now(), *this->random);
    this->schedule();
}

void configuration_task::set_members(const std::string& service, const std::vector<membership::member>& members)
{
    std::vector<configuration::peer_version> versions;
    versions.reserve(members.size());
    for (const auto& member : members)
    {
        versions.push_back({member.id, member.configuration_version});
    }
    this->follower.on_members(service, std::move(versions), this->loop->now(), *this->random);
    this->schedule();
}

void configuration_task::on_version_seen(const std::string& service, const core::node_id& peer, core::version version)
{
    if (version > this->follower.version_of(service))
    {
        this->follower.on_version_seen(service, peer, version, this->loop->now(), *this->random);
        this->schedule();
    }
}

peer_document configuration_task::respond_to_pull(const std::string& service, std::string_view target) const
{
    const auto* const current = this->follower.find(service);
    return detail::make_document_response(current, target);
}

core::version configuration_task::version_of(const std::string& service) const
{
    return this->follower.version_of(service);
}

std::uint64_t configuration_task::rejected_older_documents() const
{
    std::uint64_t sum = 0;
    for (const auto& [source, counters] : this->follower.counters())
    {
        sum += counters.older;
    }
    return sum;
}

void configuration_task::run()
{
    for (const auto& action : this->follower.tick(this->loop->now(), *this->random))
    {
        this->execute(action);
    }
    this->schedule();
}

void configuration_task::execute(const configuration::follower_action& action)
{
    const auto platform_response_hook = [this](const std::string& service)
    {
        return [this, service, still_alive = this->alive](const platform_read& result)
        {
            if (*still_alive)
            {
                this->handle_platform(service, result);
            }
        };
    };
    std::visit(
        detail::overloaded{[&](const configuration::watch_platform& watch) {
                               this->platform->watch(object_key(watch.service), watch.after, watch_wait,
                                                     platform_response_hook(watch.service));
                           },
                           [](const configuration::stop_watch&)
                           {
                               // A watch in progress ends at its own timeout; its result is offered like any other.
                           },
                           [&](const configuration::read_platform& read)
                           { this->platform->read(object_key(read.service), platform_response_hook(read.service)); },
                           [&](const configuration::pull_peer& pulled)
                           {
                               this->pull(pulled);
                           }},
        action);
}

void configuration_task::pull(const configuration::pull_peer& request)
{
    const auto on_response = [this, request, still_alive = this->alive](const detail::pull_result& result)
    {
        if (!*still_alive)
        {
            return;
        }
        const configuration::document_source source{request.peer};
        if (result.document)
        {
            this->offer({request.service, result.document->version, result.document->content}, source);
        }
        this->follower.on_response(request.service, source, result.responded, this->loop->now(), *this->random);
        this->schedule();
    };
    auto* const router = this->events.router_of(request.service);
    auto* const link = router == nullptr ? nullptr : router->link_to_member(request.peer);
    if (link == nullptr)
    {
        this->loop->post([on_response] { on_response({}); });
        return;
    }
    const auto target = "/.poplar/config/" + request.service + "?above=" + std::to_string(request.above);
    detail::pull_document(*link, this->identity->cluster_key, target, on_response);
}

void configuration_task::handle_platform(const std::string& service, const platform_read& result)
{
    const configuration::document_source source{};
    if (result.value)
    {
        this->offer({service, result.version, *result.value}, source);
    }
    this->follower.on_response(service, source, result.responded, this->loop->now(), *this->random);
    this->schedule();
}

void configuration_task::offer(const configuration::document& document, const configuration::document_source& source)
{
    const auto before = this->follower.version_of(document.service);
    const auto refusal = this->follower.offer(document, source, this->loop->now());
    if (refusal)
    {
        if (refusal == configuration::error::check_failed || refusal == configuration::error::older_copy ||
            refusal == configuration::error::same_version_differs)
        {
            observability::log_record{"configuration_refused"}
                .with("service", document.service)
                .with("version", static_cast<std::int64_t>(document.version))
                .with("reason", refusal.message())
                .write(observability::log_level::warning);
        }
        return;
    }
    std::error_code error;
    auto parsed = manifest::parse_document(document.content, error);
    observability::log_record{"configuration_in_force"}
        .with("service", document.service)
        .with("version", static_cast<std::int64_t>(document.version))
        .with("previous_version", static_cast<std::int64_t>(before))
        .with("source", source.peer.empty() ? "platform" : source.peer)
        .write(observability::log_level::info);
    this->events.on_document(std::make_shared<const manifest::service_document>(std::move(*parsed)), document.version);
}

void configuration_task::schedule()
{
    const auto next = this->follower.next_wakeup();
    if (next)
    {
        this->wakeup.schedule(*next - this->loop->now());
    }
}

} // namespace poplarport::node
