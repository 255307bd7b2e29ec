#include "poplarport/mesh/upstream_task.hpp"

#include <algorithm> // max
#include <chrono>    // milliseconds, seconds
#include <utility>   // exchange, move

#include "poplarport/mesh/errors.hpp"
#include "poplarport/node/errors.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::mesh
{

namespace
{

// Neighbouring VMs slow an upstream down for about half a second at a time; it is checked several times within that.
constexpr std::chrono::milliseconds check_interval{100};

// An upstream responds to a status check in about a millisecond.
constexpr std::chrono::milliseconds check_timeout{300};

// Maximum time for which a request waits for the upstream's load; then it starts without it.
constexpr std::chrono::milliseconds max_load_wait{20};

// A single check can fail because the upstream has just closed its connection.
constexpr int failures_until_down = 2;

// While the store is unreachable, a responding upstream is registered after this time, in which it has sent at least
// one heartbeat.
constexpr std::chrono::seconds registration_delay{2};

// Only responses to status checks say whether an upstream has become cold again, so a busy upstream is checked too.
constexpr std::chrono::milliseconds cold_check_interval{250};

// Part of the reserve for cold upstreams that is left unused, because requests may arrive later than they were sent.
constexpr double unused_cold_reserve = 0.5;

// Calling nodes are notified of the slowdown when it has changed by this factor, up or down, since the last notice.
constexpr std::uint32_t min_published_change_percent = 150;

// Requests that may wait at an upstream for each of its slots; with more, the last ones would wait longer than any
// caller.
constexpr std::size_t queue_per_slot = 4;

node::receiver_limits make_limits(std::uint32_t slots, const routes::service& service, core::duration drain_limit)
{
    constexpr std::uint32_t default_connections = 64;
    // Status checks need connections of their own.
    constexpr std::uint32_t spare_connections = 4;
    node::receiver_limits limits;
    limits.slots = std::max(slots, 1U);
    limits.queue_length = queue_per_slot * limits.slots;
    const auto needed = limits.slots * 2 + spare_connections;
    limits.connection_limit =
        std::min(needed, service.connection_limit == 0 ? default_connections : service.connection_limit);
    limits.bounds_starts = true;
    limits.drain_limit = drain_limit;
    // Allowances at the entry keep a tenant from filling the queue; by tenant, urgent requests would wait for others.
    limits.shares_by_tenant = false;
    // While requests of two adjacent classes wait, the more urgent class gets eight of nine starts.
    limits.class_weights = {{"0", 512.0}, {"1", 64.0}, {"2", 8.0}, {"3", 1.0}};
    return limits;
}

// Time between two requests at a rate per second; zero without a limit.
core::duration interval_of(const std::optional<double>& rate)
{
    constexpr std::chrono::duration<double> second{1};
    return rate && *rate > 0.0 ? std::chrono::duration_cast<core::duration>(second / *rate) : core::duration::zero();
}

} // namespace

upstream_task::upstream_task(net::event_loop& owner, const mesh_settings& node_settings,
                             const adapter& installation_adapter, hooks node_hooks)
    : loop(&owner), platform_adapter(&installation_adapter), drain_limit(node_settings.drain_limit),
      cold_rules(node_settings.cold_start), events(std::move(node_hooks)),
      registry(node_settings.service, core::to_string(node_settings.upstream)), started_at(owner.now()),
      check_timer(owner, [this] { this->check(); }), wait_timer(owner, [this] { this->finish_load_requests(); })
{
    node::receiver::hooks receiver_hooks;
    receiver_hooks.better_peers = this->events.better_peers;
    receiver_hooks.faster_peers = this->events.faster_peers;
    receiver_hooks.on_load = [this](const node::upstream_load& load)
    {
        this->handle_load(load);
    };
    receiver_hooks.on_notice = [this](const node::upstream_notice& notice)
    {
        this->handle_notice(notice, "response");
    };
    receiver_hooks.refresh_load = [this](std::function<void()> done)
    {
        this->refresh(std::move(done));
    };
    receiver_hooks.on_misdirected = [this]
    {
        this->set_down(true, "another upstream has the address");
    };
    receiver_hooks.on_failure = [this](std::error_code reason)
    {
        if (reason == node::errc::upstream_unreachable)
        {
            this->handle_failed_check();
        }
    };
    this->local_receiver = std::make_unique<node::receiver>(
        owner, node_settings.upstream, installation_adapter.protocol, this->limits(), std::move(receiver_hooks));
    this->local_receiver->set_accepting(false);
    this->check_timer.schedule(check_interval);
}

node::receiver_limits upstream_task::limits() const
{
    return make_limits(this->slots, this->service, this->drain_limit);
}

void upstream_task::apply(const routes::service& new_service)
{
    this->service = new_service;
    std::optional<double> cold_limit;
    if (new_service.cold_request_rate > 0.0)
    {
        cold_limit = new_service.cold_request_rate * this->cold_rules.rate_factor +
                     this->cold_rules.reserve * (1.0 - unused_cold_reserve);
    }
    this->cold.apply({cold_limit, new_service.cold_time});
    this->local_receiver->apply(this->limits());
    this->update_cold_limit("configuration");
    this->update("configuration");
    this->check_new_instance();
}

void upstream_task::set_evacuated(bool evacuated)
{
    this->is_evacuated = evacuated;
    this->update(evacuated ? "zone is evacuated" : "zone is no longer evacuated");
}

void upstream_task::set_slots(std::uint32_t new_slots)
{
    if (new_slots != this->slots)
    {
        this->slots = new_slots;
        this->local_receiver->apply(this->limits());
    }
}

void upstream_task::on_heartbeat(const registration::upstream_heartbeat& heartbeat,
                                 const std::function<void(std::error_code)>& acknowledge)
{
    const auto deregistered_before = this->registry.deregistered_instance();
    const auto instance_before = this->registry.current().instance;
    const auto error = this->registry.on_heartbeat(heartbeat, this->loop->now());
    if (error)
    {
        this->log_rejected(heartbeat.instance, heartbeat.sequence, error);
        acknowledge(error);
        return;
    }
    if (this->registry.current().instance != instance_before)
    {
        // An instance that was registered by a status check has no start time before its first heartbeat.
        const bool is_known = heartbeat.instance.id == instance_before.id && instance_before.started_at_ms == 0;
        this->has_responded = this->has_responded && is_known;
        this->set_down(false, "announced");
    }
    this->set_slots(heartbeat.slots);
    this->local_receiver->set_upstream(heartbeat.instance.id);
    this->cold.on_heartbeat(heartbeat.cold_remaining, this->loop->now());
    this->update_cold_limit("announcement");
    this->update("announcement");
    this->check_new_instance();
    if (this->registry.deregistered_instance() != deregistered_before)
    {
        this->notify_deregistered(acknowledge);
        return;
    }
    acknowledge({});
}

void upstream_task::on_deregistration(const registration::upstream_instance& instance,
                                      const std::function<void(std::error_code)>& acknowledge)
{
    const auto deregistered_before = this->registry.deregistered_instance();
    const auto error = this->registry.on_deregistration(instance, this->loop->now());
    if (error)
    {
        this->log_rejected(instance, std::nullopt, error);
    }
    this->update("departure");
    if (!error && this->registry.deregistered_instance() != deregistered_before)
    {
        this->notify_deregistered(acknowledge);
        return;
    }
    acknowledge(error);
}

void upstream_task::log_rejected(const registration::upstream_instance& instance, std::optional<std::uint64_t> sequence,
                                 std::error_code error) const
{
    const auto& held = this->registry.current();
    observability::log_record{"announcement_rejected"}
        .with("upstream", registration::to_string(instance))
        .with("kind", sequence ? "heartbeat" : "deregistration")
        .with("sequence", static_cast<std::int64_t>(sequence.value_or(0)))
        .with("held", registration::to_string(held.instance))
        .with("held_sequence", static_cast<std::int64_t>(held.sequence))
        .with("held_age_us", this->loop->now() - held.last_heartbeat_at)
        .with("code", error.value())
        .with("reason", error.message())
        .write(observability::log_level::info);
}

void upstream_task::notify_deregistered(const std::function<void(std::error_code)>& acknowledge)
{
    this->events.on_deregistered(this->registry.deregistered_instance(), [acknowledge] { acknowledge({}); });
}

void upstream_task::record_deregistration(const std::string& instance)
{
    this->registry.record_deregistration(instance);
    this->update("deregistration stored before the start of the node");
}

void upstream_task::check()
{
    this->check_timer.schedule(check_interval);
    this->update_cold_limit("time");
    const auto age = this->local_receiver->load_age();
    const bool is_cold_time_recent =
        !this->cold.has_limit() || this->loop->now() - this->last_check_at < cold_check_interval;
    const bool is_recent = age && *age < check_interval && is_cold_time_recent;
    const bool has_deregistered = this->registry.current().state == registration::upstream_state::left;
    const bool is_needless = is_recent && !this->is_down && !this->awaits_response();
    if (this->service.health_path.empty() || this->is_checking || has_deregistered || is_needless)
    {
        return;
    }
    this->start_check();
}

void upstream_task::check_new_instance()
{
    const bool is_ready = this->registry.current().state == registration::upstream_state::ready;
    if (is_ready && this->awaits_response() && !this->service.health_path.empty() && !this->is_checking)
    {
        this->start_check();
    }
}

void upstream_task::refresh(std::function<void()> done)
{
    this->load_requests.push_back(std::move(done));
    if (!this->wait_timer.is_scheduled())
    {
        this->wait_timer.schedule(max_load_wait);
    }
    if (!this->is_checking)
    {
        this->start_check();
    }
}

void upstream_task::finish_load_requests()
{
    this->wait_timer.cancel();
    for (const auto& done : std::exchange(this->load_requests, {}))
    {
        done();
    }
}

void upstream_task::start_check()
{
    this->is_checking = true;
    this->local_receiver->check(this->service.health_path, check_timeout,
                                [this](const http::response_header* response)
                                {
                                    this->is_checking = false;
                                    this->handle_check(response);
                                    this->finish_load_requests();
                                });
}

void upstream_task::handle_check(const http::response_header* response)
{
    constexpr int ok = 200;
    if (response == nullptr)
    {
        this->handle_failed_check();
        return;
    }
    this->failed_checks = 0;
    this->last_check_at = this->loop->now();
    const auto report = this->platform_adapter->read_status(*response);
    if (report.load)
    {
        this->local_receiver->on_upstream_load(*report.load);
    }
    const auto& current = this->registry.current();
    const bool can_rely_on_deregistrations =
        this->events.deregistrations_loaded() || this->loop->now() - this->started_at > registration_delay;
    const bool can_register = response->status == ok && !report.notice.is_leaving && report.load &&
                              report.load->slots > 0 && can_rely_on_deregistrations;
    if (can_register && this->registry.register_responding(report.upstream, report.load->slots, this->loop->now()))
    {
        this->set_slots(report.load->slots);
        this->local_receiver->set_upstream(current.instance.id);
        this->handle_notice(report.notice, "status check");
        this->handle_cold_statement(report);
        this->has_responded = true;
        this->update("status check");
        return;
    }
    const bool is_current = report.upstream.empty() || report.upstream == current.instance.id;
    if (is_current)
    {
        this->handle_notice(report.notice, "status check");
        this->handle_cold_statement(report);
        this->has_responded = true;
        this->update("upstream responded to the status check");
    }
    this->set_down(!is_current, is_current ? "upstream responded to the status check"
                                           : "another upstream responded to the status check");
}

void upstream_task::handle_cold_statement(const status_report& report)
{
    if (report.is_cold_time_malformed)
    {
        observability::log_record{"cold_time_rejected"}
            .with("upstream", registration::to_string(this->registry.current().instance))
            .with("code", make_error_code(errc::malformed_cold_time).value())
            .with("reason", make_error_code(errc::malformed_cold_time).message())
            .write(observability::log_level::warning);
    }
    if (report.cold_remaining)
    {
        this->cold.on_status_check(*report.cold_remaining, this->loop->now());
        this->update_cold_limit("status check");
    }
}

void upstream_task::update_cold_limit(std::string_view source)
{
    const auto limit = this->cold.limit(this->loop->now());
    if (limit == this->applied_cold_limit)
    {
        return;
    }
    observability::log_record{"upstream_cold_limit"}
        .with("upstream", registration::to_string(this->registry.current().instance))
        .with("cold", this->is_cold() ? "true" : "false")
        .with("min_interval_us", interval_of(limit))
        .with("previous_interval_us", interval_of(this->applied_cold_limit))
        .with("source", source)
        .write(observability::log_level::info);
    this->applied_cold_limit = limit;
    this->local_receiver->set_cold_limit(limit, this->cold_rules.reserve * (1.0 - unused_cold_reserve));
}

void upstream_task::handle_failed_check()
{
    if (++this->failed_checks >= failures_until_down)
    {
        this->set_down(true, "status checks failed");
    }
}

void upstream_task::set_down(bool down, std::string_view reason)
{
    if (this->is_down == down)
    {
        return;
    }
    this->is_down = down;
    this->update(reason);
}

// The node may have been restarted: only a response tells the limit that the upstream has named, and whether it leaves.
bool upstream_task::awaits_response() const
{
    const bool can_check = !this->service.health_path.empty() || this->service.name.empty();
    return can_check && !this->has_responded;
}

void upstream_task::update(std::string_view reason)
{
    const bool is_ready = this->registry.current().state == registration::upstream_state::ready;
    const bool accepts = is_ready && !this->is_down && !this->is_evacuated && !this->awaits_response();
    if (accepts == this->is_accepting)
    {
        return;
    }
    this->is_accepting = accepts;
    const auto& current = this->registry.current();
    observability::log_record{accepts ? "upstream_accepting" : "upstream_not_accepting"}
        .with("upstream", registration::to_string(current.instance))
        .with("sequence", static_cast<std::int64_t>(current.sequence))
        .with("slots", current.slots)
        .with("reason", reason)
        .write(observability::log_level::info);
    this->local_receiver->set_accepting(accepts);
    this->events.on_accepting(accepts);
}

void upstream_task::handle_notice(const node::upstream_notice& notice, std::string_view source)
{
    if (notice.is_leaving)
    {
        this->registry.on_leaving();
        this->update("upstream stated that it leaves");
    }
    if (notice.max_request_rate == this->max_rate)
    {
        return;
    }
    observability::log_record{"upstream_request_limit"}
        .with("upstream", registration::to_string(this->registry.current().instance))
        .with("min_interval_us", interval_of(notice.max_request_rate))
        .with("previous_interval_us", interval_of(this->max_rate))
        .with("source", source)
        .write(observability::log_level::info);
    this->max_rate = notice.max_request_rate;
    this->local_receiver->set_max_request_rate(this->max_rate);
}

void upstream_task::handle_load(const node::upstream_load& load)
{
    const auto slowdown = std::max(load.slowdown_percent, 1U);
    const auto greater = std::max(slowdown, this->published_slowdown);
    const auto smaller = std::min(slowdown, this->published_slowdown);
    if (greater * std::uint64_t{100} >= std::uint64_t{smaller} * min_published_change_percent)
    {
        this->published_slowdown = slowdown;
        this->events.on_slowdown();
    }
}

} // namespace poplarport::mesh
