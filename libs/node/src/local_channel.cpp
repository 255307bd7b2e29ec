#include "poplarport/node/detail/local_channel.hpp"

#include <chrono>  // microseconds
#include <utility> // exchange, move
#include <variant> // holds_alternative

#include "poplarport/node/detail/forwarding.hpp"
#include "poplarport/node/errors.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::node::detail
{

local_channel::local_channel(receiver& receiving, std::string id, http::request_header request, received_call received,
                             hooks values)
    : owner(&receiving), ticket(std::move(id)), head(std::move(request)), call(std::move(received)),
      events(std::make_shared<hooks>(std::move(values))), offered_at(receiving.loop->now()),
      deadline_timer(*receiving.loop, [this] { this->handle_deadline(); })
{
    this->deadline_timer.schedule(this->call.deadline - receiving.loop->now());
}

void local_channel::dispatch()
{
    if (this->current != state::waiting)
    {
        return;
    }
    const auto keep = this->shared_from_this();
    const auto now = this->owner->loop->now();
    if (now >= this->call.deadline)
    {
        this->fail(attempts::refused{attempts::refusal_proof::admission_refused, {}},
                   admission::errors::deadline_passed);
        return;
    }
    // The speed may have changed while the request waited.
    if (auto better = this->owner->faster_peers(); !better.empty())
    {
        this->fail(attempts::refused{attempts::refusal_proof::admission_refused, std::move(better)},
                   errc::upstream_slowed);
        return;
    }
    this->connection = this->owner->pool->acquire();
    if (!this->connection)
    {
        this->fail(attempts::refused{attempts::refusal_proof::upstream_not_contacted,
                                     this->owner->events.better_peers(core::duration::max())},
                   errc::upstream_connection_limit);
        return;
    }
    ++this->owner->counted.dispatched;
    this->current = state::dispatched;
    this->dispatched_at = now;
    this->slowdown_at_dispatch = this->owner->slowdown_percent;
    this->owner->protocol->address_request(this->head, this->call, this->owner->identity, this->call.deadline - now);
    this->connection->start(this->head, this->connection_hooks());
    this->connection->send_body(std::exchange(this->buffered, {}));
    if (this->request_finished)
    {
        this->connection->finish_request();
    }
    else if (this->events->on_writable)
    {
        const auto running = this->events;
        running->on_writable();
    }
}

http::client_connection::hooks local_channel::connection_hooks()
{
    // The connection is owned by this channel, so its hooks do not outlive it.
    return {.on_interim =
                [this](const http::response_header& interim)
            {
                if (this->events->on_interim)
                {
                    this->events->on_interim(interim);
                }
            },
            .on_response_header = [this](http::response_header& answer) { this->handle_header(answer); },
            .on_body =
                [this](std::string_view bytes)
            {
                const auto running = this->events;
                if (!this->refused_by && running->on_body)
                {
                    running->on_body(bytes);
                }
            },
            .on_end = [this] { this->handle_end(); },
            .on_writable =
                [this]
            {
                const auto running = this->events;
                if (running->on_writable)
                {
                    running->on_writable();
                }
            },
            .on_failed =
                [this](const http::client_failure& failure)
            {
                this->handle_failure(failure);
            }};
}

void local_channel::handle_header(http::response_header& answer)
{
    const auto verdict = this->owner->protocol->classify_response(answer, this->head);
    if (verdict.load)
    {
        this->owner->on_upstream_load(*verdict.load);
    }
    switch (verdict.kind)
    {
    case response_kind::not_run:
        this->refused_by = errc::upstream_shed;
        return;
    case response_kind::misdirected:
        this->refused_by = errc::misdirected;
        return;
    case response_kind::foreign:
    {
        const auto keep = this->shared_from_this();
        this->close_connection(false);
        this->fail(attempts::unknown_reported{}, errc::foreign_answer);
        return;
    }
    case response_kind::own:
        break;
    }
    this->current = state::answering;
    const auto running = this->events;
    if (running->on_response_header)
    {
        running->on_response_header(answer, this->context());
    }
}

void local_channel::handle_end()
{
    const auto keep = this->shared_from_this();
    if (this->refused_by)
    {
        this->close_connection(true);
        if (this->refused_by == errc::misdirected && this->owner->events.on_misdirected)
        {
            this->owner->events.on_misdirected();
        }
        this->fail(attempts::refused{attempts::refusal_proof::upstream_shed,
                                     this->owner->events.better_peers(core::duration::max())},
                   this->refused_by);
        return;
    }
    this->current = state::ended;
    this->deadline_timer.cancel();
    this->close_connection(true);
    this->log_end({});
    ++this->owner->counted.answered;
    this->owner->end(this->ticket, this->call.traffic_class, this->owner->loop->now() - this->dispatched_at,
                     this->slowdown_at_dispatch);
    const auto running = std::exchange(this->events, std::make_shared<hooks>());
    if (running->on_end)
    {
        running->on_end(this->context());
    }
}

void local_channel::handle_failure(const http::client_failure& failure)
{
    const auto keep = this->shared_from_this();
    this->close_connection(false);
    if (!failure.bytes_sent)
    {
        this->fail(attempts::refused{attempts::refusal_proof::upstream_not_contacted,
                                     this->owner->events.better_peers(core::duration::max())},
                   errc::upstream_unreachable);
        return;
    }
    this->fail(attempts::unknown_reported{}, errc::upstream_failed);
}

void local_channel::handle_deadline()
{
    const auto keep = this->shared_from_this();
    if (this->current == state::waiting)
    {
        this->fail(attempts::refused{attempts::refusal_proof::admission_refused, {}},
                   admission::errors::deadline_passed);
        return;
    }
    const bool sent = this->has_sent_bytes();
    this->close_connection(false);
    if (!sent)
    {
        this->fail(attempts::refused{attempts::refusal_proof::upstream_not_contacted, {}}, errc::upstream_unreachable);
        return;
    }
    this->fail(attempts::unknown_reported{}, errc::upstream_timed_out);
}

void local_channel::refuse(std::error_code reason, std::vector<core::node_id> better)
{
    const auto keep = this->shared_from_this();
    this->fail(attempts::refused{attempts::refusal_proof::admission_refused, std::move(better)}, reason);
}

void local_channel::fail(attempts::attempt_event event, std::error_code reason)
{
    if (this->current == state::ended)
    {
        return;
    }
    this->current = state::ended;
    this->deadline_timer.cancel();
    this->log_end(reason);
    ++this->owner->counted.failed;
    if (reason.category() == category() && reason != errc::upstream_not_accepting && this->owner->events.on_failure)
    {
        this->owner->events.on_failure(reason);
    }
    this->owner->end(this->ticket, this->call.traffic_class, std::nullopt, this->slowdown_at_dispatch);
    const auto running = std::exchange(this->events, std::make_shared<hooks>());
    if (running->on_failed)
    {
        const bool untouched = std::holds_alternative<attempts::refused>(event);
        running->on_failed({std::move(event), reason, !untouched, this->context()});
    }
}

void local_channel::log_end(std::error_code reason) const
{
    if (!observability::is_request_logged(observability::log_level::debug, this->call.id))
    {
        return;
    }
    const auto now = this->owner->loop->now();
    const bool was_sent = this->dispatched_at != core::time_point{};
    constexpr core::duration unknown_age = std::chrono::microseconds{-1};
    const auto load = this->owner->load();
    observability::log_record{"attempt_ended"}
        .with("id", this->call.id)
        .with("upstream", this->owner->identity)
        .with("sent", was_sent ? "true" : "false")
        .with("waited_us", (was_sent ? this->dispatched_at : now) - this->offered_at)
        .with("ran_us", was_sent ? now - this->dispatched_at : core::duration{0})
        .with("code", reason.value())
        .with("slots", load.slots)
        .with("in_flight", load.in_flight)
        .with("queued", load.queued)
        .with("slowdown_percent", load.slowdown_percent)
        .with("load_age_us", this->owner->load_age().value_or(unknown_age))
        .with("time_left_us", this->call.deadline - now)
        .write(observability::log_level::debug);
}

void local_channel::close_connection(bool reusable)
{
    const auto closing = std::exchange(this->connection, nullptr);
    if (!closing)
    {
        return;
    }
    if (!reusable)
    {
        closing->abort();
    }
    this->owner->pool->release(closing);
}

void local_channel::send_body(std::string_view bytes)
{
    if (this->current == state::ended)
    {
        return;
    }
    if (this->connection)
    {
        this->connection->send_body(bytes);
        return;
    }
    this->buffered.append(bytes);
}

void local_channel::finish_request()
{
    this->request_finished = true;
    if (this->connection)
    {
        this->connection->finish_request();
    }
}

void local_channel::set_reading(bool enabled)
{
    if (this->connection)
    {
        this->connection->set_reading(enabled);
    }
}

void local_channel::cancel()
{
    if (this->current == state::ended)
    {
        return;
    }
    const auto keep = this->shared_from_this();
    this->current = state::ended;
    this->deadline_timer.cancel();
    this->log_end(errc::caller_gone);
    this->events = std::make_shared<hooks>();
    this->close_connection(false);
    ++this->owner->counted.cancelled;
    this->owner->end(this->ticket, this->call.traffic_class, std::nullopt, this->slowdown_at_dispatch);
}

std::size_t local_channel::pending_bytes() const noexcept
{
    return this->connection ? this->connection->pending_bytes() : this->buffered.size();
}

bool local_channel::has_sent_bytes() const noexcept
{
    return this->connection && this->connection->has_sent_bytes();
}

response_context local_channel::context() const
{
    return {this->owner->load(), 0};
}

} // namespace poplarport::node::detail
