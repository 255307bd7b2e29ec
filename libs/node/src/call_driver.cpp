#include "poplarport/node/call_driver.hpp"

#include <algorithm> // max, ranges::any_of, ranges::count_if, ranges::find_if
#include <utility>   // exchange, move
#include <variant>   // visit

#include "poplarport/attempts/errors.hpp"
#include "poplarport/node/detail/forwarding.hpp"
#include "poplarport/node/detail/overloaded.hpp"
#include "poplarport/node/errors.hpp"

namespace poplarport::node
{

call_driver::call_driver(net::event_loop& event_loop, std::shared_ptr<http::server_exchange> received,
                         const call_protocol& header_protocol, call_description properties,
                         const attempts::call_request& request, const attempts::call_limits& limits,
                         attempts::retry_budget& budget, std::mt19937_64& random_engine, hooks callbacks)
    : loop(&event_loop), exchange(std::move(received)), protocol(&header_protocol), description(std::move(properties)),
      forwarded_request(header_protocol.make_request(exchange->request(), description, exchange->caller().host)),
      call(request, limits, budget), random(&random_engine), events(std::move(callbacks)), started_at(event_loop.now()),
      wakeup(event_loop, [this] { this->handle_timer(); })
{
}

void call_driver::start()
{
    this->exchange->set_hooks(this->caller_hooks());
    this->body_complete = this->forwarded_request.framing == http::body_framing::none;
    const auto self = this->shared_from_this();
    this->processing = true;
    this->execute(this->call.start(this->loop->now()));
    this->processing = false;
    this->process_events();
}

http::server_exchange::hooks call_driver::caller_hooks()
{
    const auto weak = this->weak_from_this();
    return {.on_body =
                [weak](std::string_view bytes)
            {
                if (const auto self = weak.lock())
                {
                    self->handle_body(bytes);
                }
            },
            .on_body_end =
                [weak]
            {
                if (const auto self = weak.lock())
                {
                    self->handle_body_end();
                }
            },
            .on_writable =
                [weak]
            {
                const auto self = weak.lock();
                if (self && self->call.forwarded_attempt())
                {
                    self->slot_of(*self->call.forwarded_attempt()).channel->set_reading(true);
                }
            },
            .on_cancelled =
                [weak](std::error_code)
            {
                if (const auto self = weak.lock())
                {
                    self->handle_caller_gone();
                }
            }};
}

attempt_channel::hooks call_driver::channel_hooks(attempts::attempt_id id)
{
    const auto weak = this->weak_from_this();
    return {.on_interim =
                [weak](const http::response_header& interim)
            {
                constexpr int early_hints = 103;
                const auto self = weak.lock();
                if (self && !self->header_forwarded && interim.status == early_hints)
                {
                    self->exchange->send_interim(interim);
                }
            },
            .on_response_header =
                [weak, id](http::response_header& header, const response_context&)
            {
                if (const auto self = weak.lock())
                {
                    self->handle_response_header(id, header);
                }
            },
            .on_body =
                [weak, id](std::string_view bytes)
            {
                if (const auto self = weak.lock())
                {
                    self->handle_response_body(id, bytes);
                }
            },
            .on_end =
                [weak, id](const response_context&)
            {
                if (const auto self = weak.lock())
                {
                    self->handle_response_end(id);
                }
            },
            .on_writable =
                [weak]
            {
                if (const auto self = weak.lock())
                {
                    self->update_reading();
                }
            },
            .on_failed =
                [weak, id](const attempt_failure& failure)
            {
                if (const auto self = weak.lock())
                {
                    self->handle_failure(id, failure);
                }
            }};
}

void call_driver::handle_body(std::string_view bytes)
{
    const auto self = this->shared_from_this();
    this->body_bytes += bytes.size();
    if (this->body_bytes > this->description.body_limit_bytes)
    {
        this->body_too_large = true;
        this->report_all_sent();
        this->execute(this->call.on_cancelled());
        return;
    }
    if (!this->body_discarded)
    {
        this->body.append(bytes);
        if (this->body.size() > body_buffer_bytes)
        {
            // A body that exceeds the buffer is discarded, so no further attempt can start; attempts in progress
            // continue.
            this->body_discarded = true;
            this->body = {};
            this->call.on_body_discarded();
        }
    }
    for (const auto& attempt_slot : this->slots)
    {
        if (attempt_slot.channel)
        {
            attempt_slot.channel->send_body(bytes);
        }
    }
    this->update_reading();
}

void call_driver::handle_body_end()
{
    this->body_complete = true;
    for (const auto& attempt_slot : this->slots)
    {
        if (attempt_slot.channel)
        {
            attempt_slot.channel->finish_request();
        }
    }
}

void call_driver::handle_caller_gone()
{
    const auto self = this->shared_from_this();
    this->caller_gone = true;
    this->last_reason = errc::caller_gone;
    this->report_all_sent();
    this->execute(this->call.on_cancelled());
}

void call_driver::handle_failure(attempts::attempt_id id, const attempt_failure& failure)
{
    const auto self = this->shared_from_this();
    this->last_reason = failure.reason;
    if (failure.request_sent && !std::exchange(this->slot_of(id).sent_reported, true))
    {
        this->push_event(id, attempts::request_bytes_sent{1});
    }
    auto& attempt_slot = this->slot_of(id);
    attempt_slot.channel.reset();
    attempt_slot.buffered_body = {};
    attempt_slot.budget_share.release();
    this->push_event(id, failure.event);
}

void call_driver::handle_response_header(attempts::attempt_id id, http::response_header& header)
{
    auto& attempt_slot = this->slot_of(id);
    const auto limit = this->buffer_limit();
    attempt_slot.is_buffered =
        limit != 0 && (header.framing != http::body_framing::fixed || header.content_length <= limit);
    const bool is_buffered = attempt_slot.is_buffered;
    attempt_slot.header = std::move(header);
    this->report_sent(id);
    if (!is_buffered)
    {
        this->push_event(id, attempts::response_started{});
    }
}

void call_driver::handle_response_body(attempts::attempt_id id, std::string_view bytes)
{
    const auto self = this->shared_from_this();
    if (this->slot_of(id).is_buffered)
    {
        this->slot_of(id).buffered_body.append(bytes);
        if (!this->may_buffer(this->slot_of(id)))
        {
            this->release_buffered(id);
        }
        return;
    }
    if (this->finished || this->call.forwarded_attempt() != id)
    {
        return;
    }
    this->exchange->send_body(bytes);
    if (!this->finished && this->exchange->pending_bytes() > body_buffer_bytes)
    {
        this->slot_of(id).channel->set_reading(false);
    }
}

void call_driver::handle_response_end(attempts::attempt_id id)
{
    constexpr int first_server_error = 500;
    const auto self = this->shared_from_this();
    auto& attempt_slot = this->slot_of(id);
    if (attempt_slot.is_buffered)
    {
        attempt_slot.is_complete = true;
        if (this->description.repeatable && attempt_slot.header->status >= first_server_error)
        {
            // Another upstream may succeed; otherwise this response is forwarded.
            this->push_event(id, attempts::unknown_reported{});
            return;
        }
        this->release_buffered(id);
    }
    this->push_event(id, attempts::response_completed{});
}

std::size_t call_driver::buffer_limit() const
{
    // An incomplete response would also replace that of another attempt in progress.
    const auto in_progress =
        std::ranges::count_if(this->slots, [](const slot& each) { return each.channel != nullptr; });
    const bool is_extended =
        this->events.pipelined_responses != nullptr && (this->exchange->has_followers() || in_progress > 1);
    return std::max(this->description.max_buffered_response_bytes,
                    is_extended ? this->description.max_pipelined_response_bytes : 0);
}

bool call_driver::may_buffer(slot& attempt_slot) const
{
    const auto size = attempt_slot.buffered_body.size();
    return size <= this->description.max_buffered_response_bytes ||
           (size <= this->buffer_limit() && attempt_slot.budget_share.grow_to(*this->events.pipelined_responses, size));
}

void call_driver::release_buffered(attempts::attempt_id id)
{
    this->slot_of(id).is_buffered = false;
    this->slot_of(id).budget_share.release();
    this->push_event(id, attempts::response_started{});
    const auto bytes = std::exchange(this->slot_of(id).buffered_body, {});
    if (!this->finished && this->call.forwarded_attempt() == id)
    {
        this->exchange->send_body(bytes);
    }
}

std::optional<attempts::attempt_id> call_driver::failed_response() const
{
    const auto found = std::ranges::find_if(this->slots, &slot::is_complete);
    if (found == this->slots.end() || !found->is_buffered)
    {
        return std::nullopt;
    }
    return static_cast<attempts::attempt_id>(found - this->slots.begin());
}

void call_driver::handle_timer()
{
    this->advance(this->loop->now());
}

void call_driver::expire()
{
    this->advance(std::max(this->description.deadline, this->loop->now()));
}

void call_driver::advance(core::time_point now)
{
    const auto self = this->shared_from_this();
    this->report_all_sent();
    this->processing = true;
    this->execute(this->call.tick(now));
    this->processing = false;
    this->process_events();
}

void call_driver::push_event(attempts::attempt_id id, attempts::attempt_event event)
{
    this->queue.push_back({id, std::move(event)});
    this->process_events();
}

void call_driver::process_events()
{
    if (this->processing)
    {
        return;
    }
    const auto self = this->shared_from_this();
    this->processing = true;
    while (!this->queue.empty())
    {
        const auto next = std::move(this->queue.front());
        this->queue.pop_front();
        this->execute(this->call.on_event(next.id, next.event, this->loop->now(), *this->random));
    }
    this->processing = false;
    this->schedule_timer();
}

void call_driver::report_sent(attempts::attempt_id id)
{
    auto& attempt_slot = this->slot_of(id);
    if (!attempt_slot.sent_reported && attempt_slot.channel && attempt_slot.channel->has_sent_bytes())
    {
        attempt_slot.sent_reported = true;
        this->push_event(id, attempts::request_bytes_sent{1});
    }
}

void call_driver::report_all_sent()
{
    for (attempts::attempt_id id = 0; id < this->slots.size(); ++id)
    {
        this->report_sent(id);
    }
}

void call_driver::execute(const attempts::call_actions& actions)
{
    for (const auto& action : actions)
    {
        std::visit(detail::overloaded{[this](const attempts::start_attempt& start) { this->open(start.parameters); },
                                      [this](const attempts::start_hedge& start) { this->open(start.parameters); },
                                      [this](const attempts::cancel_attempt& cancel)
                                      {
                                          if (const auto channel =
                                                  std::exchange(this->slot_of(cancel.attempt).channel, {}))
                                          {
                                              channel->cancel();
                                          }
                                      },
                                      [this](const attempts::forward_response_header& forward)
                                      { this->forward_response_header(forward.attempt); },
                                      [this](const attempts::finish& finish_action)
                                      {
                                          this->finish(finish_action);
                                      }},
                   action);
    }
}

void call_driver::open(const attempts::start_parameters& parameters)
{
    auto& attempt_slot = this->slot_of(parameters.attempt);
    auto opened = this->events.open(parameters, this->forwarded_request, this->description,
                                    this->channel_hooks(parameters.attempt));
    if (!opened)
    {
        this->queue.push_back({parameters.attempt, attempts::no_endpoint{}});
        return;
    }
    this->call.on_endpoint_selected(opened->endpoint);
    attempt_slot.channel = std::move(opened->channel);
    attempt_slot.channel->send_body(this->body);
    if (this->body_complete)
    {
        attempt_slot.channel->finish_request();
    }
}

void call_driver::forward_response_header(attempts::attempt_id id)
{
    auto header = std::move(*this->slot_of(id).header);
    this->protocol->prepare_response(header, this->description);
    this->header_forwarded = true;
    this->exchange->send_header(std::move(header));
}

void call_driver::finish(const attempts::finish& finish_action)
{
    this->finished = true;
    this->wakeup.cancel();
    call_result result{finish_action.outcome, finish_action.code, 0, this->loop->now() - this->started_at,
                       this->slots.size()};
    if (this->header_forwarded)
    {
        if (finish_action.outcome == core::outcome::answered)
        {
            this->exchange->finish();
        }
        else
        {
            this->exchange->abort();
        }
    }
    else if (const auto failed = this->failed_response(); failed && !this->caller_gone)
    {
        auto& failed_slot = this->slot_of(*failed);
        result.status = failed_slot.header->status;
        this->protocol->prepare_response(*failed_slot.header, this->description);
        http::respond(*this->exchange, std::move(*failed_slot.header), failed_slot.buffered_body);
    }
    else if (!this->caller_gone)
    {
        result.status = this->respond_without_upstream(finish_action);
    }
    const auto on_finished = std::exchange(this->events.on_finished, {});
    if (on_finished)
    {
        on_finished(result);
    }
}

int call_driver::respond_without_upstream(const attempts::finish& finish_action)
{
    constexpr int content_too_large = 413;
    constexpr int bad_gateway = 502;
    constexpr int service_unavailable = 503;
    constexpr int gateway_timeout = 504;
    const auto code = this->body_too_large ? std::error_code{errc::body_too_large}
                      : this->last_reason  ? this->last_reason
                                           : finish_action.code;
    const bool timed_out = finish_action.code == attempts::error::timed_out || code == errc::upstream_timed_out ||
                           finish_action.stopped_by == attempts::error::deadline_passed;
    local_response_reason reason{finish_action.outcome, code, bad_gateway, std::nullopt};
    reason.status = this->body_too_large                              ? content_too_large
                    : finish_action.outcome == core::outcome::not_run ? service_unavailable
                    : timed_out                                       ? gateway_timeout
                                                                      : bad_gateway;
    if (reason.status == service_unavailable && this->events.retry_after)
    {
        reason.retry_after = this->events.retry_after(this->description);
    }
    auto response = this->protocol->make_local_response(this->description, reason);
    const int status = response.header.status;
    http::respond(*this->exchange, std::move(response.header), response.body);
    return status;
}

void call_driver::update_reading()
{
    const bool is_full = std::ranges::any_of(
        this->slots, [](const slot& attempt_slot)
        { return attempt_slot.channel && attempt_slot.channel->pending_bytes() > body_buffer_bytes; });
    this->exchange->set_reading(!is_full);
}

void call_driver::schedule_timer()
{
    const auto next = this->call.next_wakeup();
    if (next && !this->finished)
    {
        this->wakeup.schedule(*next - this->loop->now());
    }
}

call_driver::slot& call_driver::slot_of(attempts::attempt_id id)
{
    if (id >= this->slots.size())
    {
        this->slots.resize(id + 1);
    }
    return this->slots[id];
}

} // namespace poplarport::node
