#include "poplarport/mesh/upstream_task.hpp"

#include <algorithm> // max
#include <chrono>    // milliseconds, seconds
#include <utility>   // exchange, move

#include "poplarport/node/errors.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::mesh
{

namespace
{

// Neighbours slow an upstream down for about half a second at a time, so its speed is asked for a few times in that.
constexpr std::chrono::milliseconds check_interval{100};

// An upstream answers a status check in about a millisecond.
constexpr std::chrono::milliseconds check_timeout{300};

// A request waits this long for the upstream's load, and then starts without it.
constexpr std::chrono::milliseconds longest_load_wait{20};

// A single check may meet a connection that the upstream has just closed.
constexpr int failures_until_down = 2;

// Without the store an upstream is taken after this time, in which it has announced itself at least once.
constexpr std::chrono::seconds adoption_delay{2};

// Senders are told when work takes this many times as long, or as little, as they were told last.
constexpr std::uint32_t considerable_change_percent = 150;

// Requests that wait at one upstream for each of its slots; more would wait longer than any caller does.
constexpr std::size_t queue_per_slot = 4;

node::receiver_limits make_limits(std::uint32_t slots, const routes::service& rules, core::duration drain_limit)
{
    constexpr std::uint32_t default_connections = 64;
    // Status checks need connections of their own.
    constexpr std::uint32_t spare_connections = 4;
    node::receiver_limits limits;
    limits.slots = std::max(slots, 1U);
    limits.queue_length = queue_per_slot * limits.slots;
    const auto needed = limits.slots * 2 + spare_connections;
    limits.connection_limit =
        std::min(needed, rules.connection_limit == 0 ? default_connections : rules.connection_limit);
    limits.bounds_starts = true;
    limits.drain_limit = drain_limit;
    // A more urgent class gets eight of nine starts while both wait.
    limits.class_weights = {{"0", 512.0}, {"1", 64.0}, {"2", 8.0}, {"3", 1.0}};
    return limits;
}

} // namespace

upstream_task::upstream_task(net::event_loop& owner, const mesh_settings& values, const adapter& installation,
                             hooks hooks_of_node)
    : loop(&owner), site(&installation), drain_limit(values.drain_limit), events(std::move(hooks_of_node)),
      registry(values.service, core::to_string(values.upstream)), started_at(owner.now()),
      check_timer(owner, [this] { this->check(); }), wait_timer(owner, [this] { this->finish_load_requests(); })
{
    node::receiver::hooks receiver_hooks;
    receiver_hooks.better_peers = this->events.better_peers;
    receiver_hooks.on_load = [this](const node::upstream_load& load)
    {
        this->handle_load(load);
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
    this->receiving = std::make_unique<node::receiver>(owner, values.upstream, installation.protocol, this->limits(),
                                                       std::move(receiver_hooks));
    this->receiving->set_accepting(false);
    this->check_timer.schedule(check_interval);
}

node::receiver_limits upstream_task::limits() const
{
    return make_limits(this->slots, this->rules, this->drain_limit);
}

void upstream_task::apply(const routes::service& value)
{
    this->rules = value;
    this->receiving->apply(this->limits());
}

void upstream_task::set_slots(std::uint32_t value)
{
    if (value != this->slots)
    {
        this->slots = value;
        this->receiving->apply(this->limits());
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
        observability::log_record{"announcement_rejected"}
            .with("upstream", registration::to_string(heartbeat.instance))
            .with("sequence", static_cast<std::int64_t>(heartbeat.sequence))
            .with("held", registration::to_string(this->registry.current().instance))
            .with("held_sequence", static_cast<std::int64_t>(this->registry.current().sequence))
            .with("code", error.value())
            .with("reason", error.message())
            .write(observability::log_level::info);
        acknowledge(error);
        return;
    }
    if (this->registry.current().instance != instance_before)
    {
        this->set_down(false, "announced");
    }
    this->set_slots(heartbeat.slots);
    this->receiving->set_upstream(heartbeat.instance.id);
    this->update("announcement");
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
    this->update("departure");
    if (!error && this->registry.deregistered_instance() != deregistered_before)
    {
        this->notify_deregistered(acknowledge);
        return;
    }
    acknowledge(error);
}

void upstream_task::notify_deregistered(const std::function<void(std::error_code)>& acknowledge)
{
    this->events.on_deregistered(this->registry.deregistered_instance(), [acknowledge] { acknowledge({}); });
}

void upstream_task::record_deregistration(const std::string& instance)
{
    this->registry.record_deregistration(instance);
    this->update("departure kept before the start of the node");
}

void upstream_task::check()
{
    this->check_timer.schedule(check_interval);
    const auto age = this->receiving->load_age();
    const bool is_recent = age && *age < check_interval;
    const bool is_over = this->registry.current().state == registration::upstream_state::left;
    if (this->rules.health_path.empty() || this->is_checking || is_over || (is_recent && !this->is_down))
    {
        return;
    }
    this->start_check();
}

void upstream_task::refresh(std::function<void()> done)
{
    this->load_requests.push_back(std::move(done));
    if (!this->wait_timer.is_scheduled())
    {
        this->wait_timer.schedule(longest_load_wait);
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
    this->receiving->check(this->rules.health_path, check_timeout,
                           [this](const http::response_header* answer)
                           {
                               this->is_checking = false;
                               this->handle_check(answer);
                               this->finish_load_requests();
                           });
}

void upstream_task::handle_check(const http::response_header* answer)
{
    constexpr int ok = 200;
    if (answer == nullptr)
    {
        this->handle_failed_check();
        return;
    }
    this->failed_checks = 0;
    const auto report = this->site->read_status(*answer);
    if (report.load)
    {
        this->receiving->on_upstream_load(*report.load);
    }
    const auto& current = this->registry.current();
    const bool knows_past = this->events.knows_past() || this->loop->now() - this->started_at > adoption_delay;
    const bool can_adopt = answer->status == ok && report.load && report.load->slots > 0 && knows_past;
    if (can_adopt && this->registry.register_responding(report.upstream, report.load->slots, this->loop->now()))
    {
        this->set_slots(report.load->slots);
        this->receiving->set_upstream(current.instance.id);
        this->update("status check");
        return;
    }
    const bool is_known = report.upstream.empty() || report.upstream == current.instance.id;
    this->set_down(!is_known, is_known ? "status check answered" : "another upstream answered the status check");
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

void upstream_task::update(std::string_view reason)
{
    const bool accepts = this->registry.current().state == registration::upstream_state::ready && !this->is_down;
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
    this->receiving->set_accepting(accepts);
    this->events.on_accepting(accepts);
}

void upstream_task::handle_load(const node::upstream_load& load)
{
    const auto now = std::max(load.slowdown_percent, 1U);
    const auto greater = std::max(now, this->published_slowdown);
    const auto smaller = std::min(now, this->published_slowdown);
    if (greater * std::uint64_t{100} >= std::uint64_t{smaller} * considerable_change_percent)
    {
        this->published_slowdown = now;
        this->events.on_slowdown();
    }
}

} // namespace poplarport::mesh
