#include "poplarport/standins/upstream/upstream_server.hpp"

#include <charconv> // from_chars
#include <utility>  // exchange, move

#include "upstream_state.hpp"

namespace poplarport::standins
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_failed = 500;
constexpr int status_unavailable = 503;
constexpr std::size_t most_connections = 4096;

std::optional<std::int64_t> number_field(const http::request_header& head, std::string_view name)
{
    const auto* const text = head.fields.find(name);
    std::int64_t value = 0;
    if (text == nullptr || std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc{})
    {
        return std::nullopt;
    }
    return value;
}

std::size_t answer_size(const http::request_header& head, std::size_t by_default)
{
    constexpr std::int64_t most_bytes = 64LL * 1024 * 1024;
    const auto asked = number_field(head, response_bytes_field);
    return asked && *asked >= 0 && *asked <= most_bytes ? static_cast<std::size_t>(*asked) : by_default;
}

} // namespace

upstream_server::state::state(net::event_loop& owner, const upstream_settings& settings)
    : loop(&owner), chosen(settings), active(settings.initial_faults), times(settings.service),
      ledger(settings.name, settings.ledger), created(owner.now())
{
    http::server::limits limits;
    limits.connections = most_connections;
    this->server.emplace(
        http::server::builder{}
            .listen_on(settings.listen)
            .with_limits(limits)
            .on_request([this](const std::shared_ptr<http::server_exchange>& exchange) { this->accept(exchange); })
            .build(owner));
    if (settings.control)
    {
        this->control = std::make_unique<detail::control_server>(owner, *settings.control,
                                                                 [this](const detail::control_request& request)
                                                                 { return this->handle_control(request); });
    }
    this->record_load();
}

upstream_server::state::~state()
{
    this->stopping = true;
    this->stopped_hook = nullptr;
    // Closing the connections cancels what still runs, which uses the other members.
    this->server.reset();
}

void upstream_server::state::accept(const std::shared_ptr<http::server_exchange>& exchange)
{
    const auto& head = exchange->request();
    if (head.target == "/health" || head.target == "/load")
    {
        exchange->set_hooks({.on_body = {},
                             .on_body_end = [this, exchange] { this->report(exchange); },
                             .on_writable = {},
                             .on_cancelled = {}});
        return;
    }
    const auto accepted = std::make_shared<upstream_request>();
    accepted->exchange = exchange;
    const auto* const key = head.fields.find(request_key_field);
    accepted->key = key != nullptr ? *key : std::string{};
    accepted->response_bytes = answer_size(head, this->chosen.response_bytes);
    if (const auto time_left = number_field(head, "Poplar-Deadline-Ms"))
    {
        // The request may have waited for as long as the loop was late.
        accepted->deadline = this->loop->now() + std::chrono::milliseconds{*time_left} - this->loop->stall();
    }
    exchange->set_hooks({.on_body = [accepted](std::string_view bytes) { accepted->hash.append(bytes); },
                         .on_body_end = [this, accepted] { this->offer(accepted); },
                         .on_writable = {},
                         .on_cancelled =
                             [this, accepted](std::error_code)
                         {
                             this->cancel(accepted);
                         }});
}

void upstream_server::state::offer(const request_pointer& offered)
{
    if (this->active.freeze)
    {
        offered->current = upstream_request::phase::parked;
        this->parked.push_back(offered);
    }
    else if (this->active.drain == drain_mode::refuse || this->stopping)
    {
        this->refuse(offered, "draining");
    }
    else if (this->active.shed)
    {
        this->refuse(offered, "shedding");
    }
    else if (this->is_expired(*offered))
    {
        ++this->counts.expired;
        this->refuse(offered, "deadline passed");
    }
    else if (this->active.fail_fast)
    {
        this->fail_fast(offered);
    }
    else if (this->running.size() < this->chosen.slots)
    {
        this->start(offered);
    }
    else if (this->waiting.size() < this->chosen.queue)
    {
        offered->current = upstream_request::phase::waiting;
        this->waiting.push_back(offered);
    }
    else
    {
        this->refuse(offered, "queue full");
    }
    this->record_load();
}

void upstream_server::state::start(const request_pointer& started)
{
    started->current = upstream_request::phase::running;
    started->started = this->loop->now();
    ++this->counts.started;
    const auto& head = started->exchange->request();
    const bool draining = this->active.drain != drain_mode::off;
    started->run = this->ledger.start({started->key, head.method, head.target, draining});
    this->running.push_back(started);
    const std::weak_ptr<upstream_request> timed = started;
    started->timer = std::make_unique<net::timer>(*this->loop,
                                                  [this, timed]
                                                  {
                                                      if (const auto due = timed.lock())
                                                      {
                                                          this->finish(due);
                                                      }
                                                  });
    started->timer->schedule(this->next_service_time());
}

void upstream_server::state::finish(const request_pointer& finished)
{
    if (this->active.freeze)
    {
        finished->due = true;
        return;
    }
    constexpr double newest_weight = 0.1;
    const std::chrono::duration<double, std::micro> taken = this->loop->now() - finished->started;
    this->average_service_time += (taken - this->average_service_time) * newest_weight;
    ++this->counts.completed;
    this->running.remove(finished);
    this->ledger.end(finished->key, finished->run, run_result::completed);
    this->answer(finished, status_ok);
    this->start_waiting();
    this->record_load();
    this->check_stopped();
}

void upstream_server::state::fail_fast(const request_pointer& failed)
{
    const auto& head = failed->exchange->request();
    ++this->counts.started;
    failed->run = this->ledger.start({failed->key, head.method, head.target, this->active.drain != drain_mode::off});
    ++this->counts.completed;
    this->ledger.end(failed->key, failed->run, run_result::completed);
    this->answer(failed, status_failed);
}

void upstream_server::state::cancel(const request_pointer& cancelled)
{
    const auto previous = std::exchange(cancelled->current, upstream_request::phase::ended);
    if (previous == upstream_request::phase::receiving || previous == upstream_request::phase::ended)
    {
        return;
    }
    ++this->counts.cancelled;
    if (previous == upstream_request::phase::running)
    {
        cancelled->timer->cancel();
        this->running.remove(cancelled);
        this->ledger.end(cancelled->key, cancelled->run, this->stopping ? run_result::stopped : run_result::cancelled);
    }
    this->waiting.remove(cancelled);
    this->start_waiting();
    this->record_load();
    this->check_stopped();
}

void upstream_server::state::refuse(const request_pointer& refused, const std::string& reason)
{
    refused->current = upstream_request::phase::ended;
    ++this->counts.shed;
    http::response_header head{.status = status_unavailable, .keep_alive = !this->stopping};
    head.fields.add("Poplar-Not-Run", "true");
    head.fields.add("Content-Type", "text/plain");
    http::respond(*refused->exchange, std::move(head), reason + "\n");
}

void upstream_server::state::answer(const request_pointer& answered, int status)
{
    answered->current = upstream_request::phase::ended;
    const auto body = response_body(answered->key, answered->hash.value(), answered->response_bytes);
    http::response_header head{.status = status, .framing = http::body_framing::fixed, .content_length = body.size()};
    head.keep_alive = !this->stopping;
    head.fields.add(request_key_field, answered->key);
    head.fields.add("Content-Type", "application/octet-stream");
    const auto exchange = answered->exchange;
    exchange->send_header(std::move(head));
    if (this->active.close_mid_response)
    {
        exchange->send_body(std::string_view{body}.substr(0, body.size() / 2));
        exchange->abort();
        return;
    }
    exchange->send_body(body);
    exchange->finish();
}

void upstream_server::state::start_waiting()
{
    while (!this->active.freeze && !this->waiting.empty() && this->running.size() < this->chosen.slots)
    {
        const auto next = this->waiting.front();
        this->waiting.pop_front();
        if (this->is_expired(*next))
        {
            ++this->counts.expired;
            this->refuse(next, "deadline passed");
            continue;
        }
        this->start(next);
    }
}

void upstream_server::state::set_faults(const faults& values)
{
    const bool thaws = this->active.freeze && !values.freeze;
    this->active = values;
    this->record_load();
    if (!thaws)
    {
        return;
    }
    const auto in_flight = this->running;
    for (const auto& candidate : in_flight)
    {
        if (candidate->due && candidate->current == upstream_request::phase::running)
        {
            this->finish(candidate);
        }
    }
    for (const auto& offered : std::exchange(this->parked, {}))
    {
        if (offered->current == upstream_request::phase::parked)
        {
            this->offer(offered);
        }
    }
    for (const auto& exchange : std::exchange(this->parked_reports, {}))
    {
        this->send_report(*exchange);
    }
    this->start_waiting();
}

void upstream_server::state::stop(std::function<void()> on_stopped)
{
    this->stopping = true;
    this->stopped_hook = std::move(on_stopped);
    this->stop_grace_timer = std::make_unique<net::timer>(*this->loop,
                                                          [this]
                                                          {
                                                              this->stop_grace_over = true;
                                                              this->check_stopped();
                                                          });
    this->stop_grace_timer->schedule(this->chosen.stop_grace);
    this->record_load();
}

void upstream_server::state::check_stopped()
{
    if (!this->stop_grace_over || !this->running.empty() || !this->waiting.empty() || !this->stopped_hook)
    {
        return;
    }
    this->server->drain();
    // The last answers leave in this iteration.
    this->loop->post(std::exchange(this->stopped_hook, {}));
}

core::duration upstream_server::state::next_service_time()
{
    const bool is_cold = this->loop->now() - this->created < this->chosen.cold_start;
    const double factor = this->active.service_time_factor * (is_cold ? this->chosen.cold_factor : 1.0);
    return std::chrono::duration_cast<core::duration>(this->times.next() * factor);
}

bool upstream_server::state::is_expired(const upstream_request& request) const
{
    return request.deadline && *request.deadline <= this->loop->now();
}

upstream_server::upstream_server(net::event_loop& loop, const upstream_settings& settings)
    : data(std::make_unique<state>(loop, settings))
{
}

upstream_server::~upstream_server() = default;

core::socket_address upstream_server::address() const
{
    return this->data->server->address();
}

std::optional<core::socket_address> upstream_server::control_address() const
{
    if (!this->data->control)
    {
        return std::nullopt;
    }
    return this->data->control->address();
}

core::load_report upstream_server::load() const
{
    return this->data->load();
}

const upstream_counts& upstream_server::counts() const noexcept
{
    return this->data->counts;
}

void upstream_server::set_faults(const faults& values)
{
    this->data->set_faults(values);
}

const faults& upstream_server::current_faults() const noexcept
{
    return this->data->active;
}

void upstream_server::stop(std::function<void()> on_stopped)
{
    this->data->stop(std::move(on_stopped));
}

} // namespace poplarport::standins
