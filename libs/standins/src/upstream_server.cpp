#include "poplarport/standins/upstream/upstream_server.hpp"

#include <charconv> // from_chars
#include <utility>  // exchange, move

#include "upstream_state.hpp"

namespace poplarport::standins
{

namespace
{

constexpr int status_ok = 200;
constexpr int status_internal_server_error = 500;
constexpr int status_unavailable = 503;
constexpr std::size_t max_connections = 4096;

std::optional<std::int64_t> number_field(const http::request_header& header, std::string_view name)
{
    const auto* const text = header.fields.find(name);
    std::int64_t value = 0;
    if (text == nullptr || std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc{})
    {
        return std::nullopt;
    }
    return value;
}

std::size_t response_size(const http::request_header& header, std::size_t default_size)
{
    constexpr std::int64_t max_bytes = 64LL * 1024 * 1024;
    const auto requested_size = number_field(header, response_bytes_field);
    return requested_size && *requested_size >= 0 && *requested_size <= max_bytes
               ? static_cast<std::size_t>(*requested_size)
               : default_size;
}

} // namespace

upstream_server::state::state(net::event_loop& shared_loop, const upstream_settings& settings)
    : loop(&shared_loop), fixed_settings(settings), active_faults(settings.initial_faults),
      service_time_generator(settings.service), ledger(settings.name, settings.ledger), start_time(shared_loop.now())
{
    http::server::limits limits;
    limits.connections = max_connections;
    this->server.emplace(
        http::server::builder{}
            .listen_on(settings.listen)
            .with_limits(limits)
            .on_request([this](const std::shared_ptr<http::server_exchange>& exchange) { this->accept(exchange); })
            .build(shared_loop));
    if (settings.control)
    {
        this->control = std::make_unique<detail::control_server>(shared_loop, *settings.control,
                                                                 [this](const detail::control_request& request)
                                                                 { return this->handle_control(request); });
    }
    this->record_load();
}

upstream_server::state::~state()
{
    this->stopping = true;
    this->stopped_hook = nullptr;
    // Closing the connections cancels the remaining requests, which needs the other members.
    this->server.reset();
}

void upstream_server::state::accept(const std::shared_ptr<http::server_exchange>& exchange)
{
    const auto& header = exchange->request();
    if (header.target == "/health" || header.target == "/load")
    {
        exchange->set_hooks({.on_body = {},
                             .on_body_end = [this, exchange] { this->report(exchange); },
                             .on_writable = {},
                             .on_cancelled = {}});
        return;
    }
    const auto request = std::make_shared<upstream_request>();
    request->exchange = exchange;
    const auto* const key = header.fields.find(request_key_field);
    request->key = key != nullptr ? *key : std::string{};
    request->response_bytes = response_size(header, this->fixed_settings.response_bytes);
    if (const auto time_left = number_field(header, "Poplar-Deadline-Ms"))
    {
        // The request may have been in the socket for as long as the loop was stalled.
        request->deadline = this->loop->now() + std::chrono::milliseconds{*time_left} - this->loop->stall();
    }
    exchange->set_hooks({.on_body = [request](std::string_view bytes) { request->hash.append(bytes); },
                         .on_body_end = [this, request] { this->dispatch(request); },
                         .on_writable = {},
                         .on_cancelled =
                             [this, request](std::error_code)
                         {
                             this->cancel(request);
                         }});
}

void upstream_server::state::dispatch(const request_pointer& request)
{
    if (this->active_faults.freeze)
    {
        request->current_phase = upstream_request::phase::suspended;
        this->suspended_requests.push_back(request);
    }
    else if (this->active_faults.drain == drain_mode::refuse || this->stopping)
    {
        this->refuse(request, "draining");
    }
    else if (this->active_faults.shed)
    {
        this->refuse(request, "shedding");
    }
    else if (this->is_expired(*request))
    {
        ++this->counts.expired;
        this->refuse(request, "deadline passed");
    }
    else if (this->active_faults.fail_fast)
    {
        this->fail_fast(request);
    }
    else if (this->running_requests.size() < this->fixed_settings.slots)
    {
        this->start(request);
    }
    else if (this->queued_requests.size() < this->fixed_settings.queue)
    {
        request->current_phase = upstream_request::phase::queued;
        this->queued_requests.push_back(request);
    }
    else
    {
        this->refuse(request, "queue full");
    }
    this->record_load();
}

void upstream_server::state::start(const request_pointer& request)
{
    request->current_phase = upstream_request::phase::running;
    request->start_time = this->loop->now();
    ++this->counts.started;
    const auto& header = request->exchange->request();
    const bool draining = this->active_faults.drain != drain_mode::off;
    request->run = this->ledger.start({request->key, header.method, header.target, draining});
    this->running_requests.push_back(request);
    const std::weak_ptr<upstream_request> weak_request = request;
    request->timer = std::make_unique<net::timer>(*this->loop,
                                                  [this, weak_request]
                                                  {
                                                      if (const auto locked = weak_request.lock())
                                                      {
                                                          this->finish(locked);
                                                      }
                                                  });
    request->timer->schedule(this->next_service_time());
}

void upstream_server::state::finish(const request_pointer& request)
{
    if (this->active_faults.freeze)
    {
        request->service_ended = true;
        return;
    }
    constexpr double newest_weight = 0.1;
    const std::chrono::duration<double, std::micro> elapsed = this->loop->now() - request->start_time;
    this->average_service_time += (elapsed - this->average_service_time) * newest_weight;
    ++this->counts.completed;
    this->running_requests.remove(request);
    this->ledger.end(request->key, request->run, run_result::completed);
    this->respond(request, status_ok);
    this->start_queued();
    this->record_load();
    this->check_stopped();
}

void upstream_server::state::fail_fast(const request_pointer& request)
{
    const auto& header = request->exchange->request();
    ++this->counts.started;
    request->run =
        this->ledger.start({request->key, header.method, header.target, this->active_faults.drain != drain_mode::off});
    ++this->counts.completed;
    this->ledger.end(request->key, request->run, run_result::completed);
    this->respond(request, status_internal_server_error);
}

void upstream_server::state::cancel(const request_pointer& request)
{
    const auto previous = std::exchange(request->current_phase, upstream_request::phase::ended);
    if (previous == upstream_request::phase::receiving || previous == upstream_request::phase::ended)
    {
        return;
    }
    ++this->counts.cancelled;
    if (previous == upstream_request::phase::running)
    {
        request->timer->cancel();
        this->running_requests.remove(request);
        this->ledger.end(request->key, request->run, this->stopping ? run_result::stopped : run_result::cancelled);
    }
    this->queued_requests.remove(request);
    this->start_queued();
    this->record_load();
    this->check_stopped();
}

void upstream_server::state::refuse(const request_pointer& request, const std::string& reason)
{
    request->current_phase = upstream_request::phase::ended;
    ++this->counts.shed;
    http::response_header header{.status = status_unavailable, .keep_alive = !this->stopping};
    header.fields.add("Poplar-Not-Run", "true");
    header.fields.add("Content-Type", "text/plain");
    http::respond(*request->exchange, std::move(header), reason + "\n");
}

void upstream_server::state::respond(const request_pointer& request, int status)
{
    request->current_phase = upstream_request::phase::ended;
    const auto body = response_body(request->key, request->hash.value(), request->response_bytes);
    http::response_header header{.status = status, .framing = http::body_framing::fixed, .content_length = body.size()};
    header.keep_alive = !this->stopping;
    header.fields.add(request_key_field, request->key);
    header.fields.add("Content-Type", "application/octet-stream");
    const auto exchange = request->exchange;
    exchange->send_header(std::move(header));
    if (this->active_faults.close_mid_response)
    {
        exchange->send_body(std::string_view{body}.substr(0, body.size() / 2));
        exchange->abort();
        return;
    }
    exchange->send_body(body);
    exchange->finish();
}

void upstream_server::state::start_queued()
{
    while (!this->active_faults.freeze && !this->queued_requests.empty() &&
           this->running_requests.size() < this->fixed_settings.slots)
    {
        const auto next = this->queued_requests.front();
        this->queued_requests.pop_front();
        if (this->is_expired(*next))
        {
            ++this->counts.expired;
            this->refuse(next, "deadline passed");
            continue;
        }
        this->start(next);
    }
}

void upstream_server::state::set_faults(const faults& new_faults)
{
    const bool ends_freeze = this->active_faults.freeze && !new_faults.freeze;
    this->active_faults = new_faults;
    this->record_load();
    if (!ends_freeze)
    {
        return;
    }
    const auto in_flight = this->running_requests;
    for (const auto& candidate : in_flight)
    {
        if (candidate->service_ended && candidate->current_phase == upstream_request::phase::running)
        {
            this->finish(candidate);
        }
    }
    for (const auto& request : std::exchange(this->suspended_requests, {}))
    {
        if (request->current_phase == upstream_request::phase::suspended)
        {
            this->dispatch(request);
        }
    }
    for (const auto& exchange : std::exchange(this->suspended_reports, {}))
    {
        this->send_report(*exchange);
    }
    this->start_queued();
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
    this->stop_grace_timer->schedule(this->fixed_settings.stop_grace);
    this->record_load();
}

void upstream_server::state::check_stopped()
{
    if (!this->stop_grace_over || !this->running_requests.empty() || !this->queued_requests.empty() ||
        !this->stopped_hook)
    {
        return;
    }
    this->server->drain();
    // The last responses are sent in this iteration of the loop.
    this->loop->post(std::exchange(this->stopped_hook, {}));
}

core::duration upstream_server::state::next_service_time()
{
    const bool is_cold = this->loop->now() - this->start_time < this->fixed_settings.cold_start;
    const double factor = this->active_faults.service_time_factor * (is_cold ? this->fixed_settings.cold_factor : 1.0);
    return std::chrono::duration_cast<core::duration>(this->service_time_generator.next() * factor);
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

void upstream_server::set_faults(const faults& new_faults)
{
    this->data->set_faults(new_faults);
}

const faults& upstream_server::current_faults() const noexcept
{
    return this->data->active_faults;
}

void upstream_server::stop(std::function<void()> on_stopped)
{
    this->data->stop(std::move(on_stopped));
}

} // namespace poplarport::standins
