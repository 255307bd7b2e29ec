#include "poplarport/node/detail/local_channel.hpp"

#include <chrono>  // microseconds
#include <utility> // exchange, move
#include <variant> // holds_alternative

#include "poplarport/http/errors.hpp"
#include "poplarport/node/detail/forwarding.hpp"
#include "poplarport/node/errors.hpp"
#include "poplarport/observability/log_record.hpp"

namespace poplarport::node::detail
{

namespace
{

// Larger bodies of refusals are not read to their end, which may not exist.
constexpr std::size_t max_refusal_body_bytes = 65536;

} // namespace

local_channel::local_channel(receiver& parent, std::string id, http::request_header request, received_call received,
                             hooks callbacks)
    : owner(&parent), ticket(std::move(id)), header(std::move(request)), call(std::move(received)),
      events(std::make_shared<hooks>(std::move(callbacks))), offered_at(parent.loop->now()),
      deadline_timer(*parent.loop, [this] { this->handle_deadline(); })
{
    this->deadline_timer.schedule(this->call.deadline - parent.loop->now());
}

void local_channel::dispatch()
{
    if (this->phase != state::waiting)
    {
        return;
    }
    const auto self = this->shared_from_this();
    const auto now = this->owner->loop->now();
    if (now >= this->call.deadline)
    {
        this->fail(attempts::refused{attempts::refusal_proof::admission_refused, {}},
                   admission::errors::deadline_passed);
        return;
    }
    // The speed of the VM may have changed while the request was queued.
    if (auto better = this->owner->faster_peers(); !better.empty())
    {
        this->fail(attempts::refused{attempts::refusal_proof::admission_refused, std::move(better)},
                   errc::upstream_slowed);
        return;
    }
    this->connection = this->owner->pool->acquire(this->call.id);
    if (!this->connection)
    {
        this->fail(attempts::refused{attempts::refusal_proof::upstream_not_contacted,
                                     this->owner->events.better_peers(core::duration::max())},
                   errc::upstream_connection_limit);
        return;
    }
    ++this->owner->totals.dispatched;
    this->phase = state::dispatched;
    this->dispatched_at = now;
    this->slowdown_at_dispatch = this->owner->slowdown_percent;
    this->owner->protocol->address_request(this->header, this->call, this->owner->identity, this->call.deadline - now);
    this->connection->start(this->header, this->connection_hooks());
    this->connection->send_body(std::exchange(this->buffered_body, {}));
    if (this->request_finished)
    {
        this->connection->finish_request();
    }
    else if (this->events->on_writable)
    {
        const auto callbacks = this->events;
        callbacks->on_writable();
    }
}

void local_channel::notify_accepted()
{
    constexpr int continue_status = 100;
    const auto callbacks = this->events;
    if (this->call.awaits_acceptance && this->phase != state::ended && callbacks->on_interim)
    {
        callbacks->on_interim({.status = continue_status});
    }
}

http::client_connection::hooks local_channel::connection_hooks()
{
    // This channel owns the connection, so the hooks do not outlive the channel.
    return {.on_interim =
                [this](const http::response_header& interim)
            {
                constexpr int early_hints = 103;
                if (interim.status == early_hints && this->events->on_interim)
                {
                    this->events->on_interim(interim);
                }
            },
            .on_response_header = [this](http::response_header& response) { this->handle_header(response); },
            .on_body = [this](std::string_view bytes) { this->handle_body(bytes); },
            .on_end = [this] { this->handle_end(); },
            .on_writable =
                [this]
            {
                const auto callbacks = this->events;
                if (callbacks->on_writable)
                {
                    callbacks->on_writable();
                }
            },
            .on_failed =
                [this](const http::client_failure& failure)
            {
                this->handle_failure(failure);
            }};
}

void local_channel::handle_header(http::response_header& response)
{
    const auto verdict = this->owner->protocol->classify_response(response, this->header);
    if (verdict.load)
    {
        this->owner->on_upstream_load(*verdict.load);
    }
    const bool is_own_response = verdict.kind == response_kind::matching || verdict.kind == response_kind::not_run;
    if (is_own_response && this->owner->events.on_notice)
    {
        this->owner->events.on_notice(verdict.notice);
    }
    switch (verdict.kind)
    {
    case response_kind::not_run:
        this->refusal_reason = errc::upstream_shed;
        return;
    case response_kind::misdirected:
        this->refusal_reason = errc::misdirected;
        return;
    case response_kind::foreign:
    {
        const auto self = this->shared_from_this();
        this->close_connection(false);
        this->fail(attempts::unknown_reported{}, errc::foreign_answer);
        return;
    }
    case response_kind::matching:
        break;
    }
    this->phase = state::responding;
    const auto callbacks = this->events;
    if (callbacks->on_response_header)
    {
        callbacks->on_response_header(response, this->context());
    }
}

void local_channel::handle_body(std::string_view bytes)
{
    if (this->refusal_reason)
    {
        this->refusal_body_bytes += bytes.size();
        if (this->refusal_body_bytes > max_refusal_body_bytes)
        {
            this->end_refused(false);
        }
        return;
    }
    const auto callbacks = this->events;
    if (callbacks->on_body)
    {
        callbacks->on_body(bytes);
    }
}

void local_channel::end_refused(bool connection_is_reusable)
{
    const auto self = this->shared_from_this();
    this->close_connection(connection_is_reusable);
    if (this->refusal_reason == errc::misdirected && this->owner->events.on_misdirected)
    {
        this->owner->events.on_misdirected();
    }
    this->fail(attempts::refused{attempts::refusal_proof::upstream_shed,
                                 this->owner->events.better_peers(core::duration::max())},
               this->refusal_reason);
}

void local_channel::handle_end()
{
    const auto self = this->shared_from_this();
    if (this->refusal_reason)
    {
        this->end_refused(true);
        return;
    }
    this->phase = state::ended;
    this->deadline_timer.cancel();
    this->close_connection(true);
    this->log_end({});
    ++this->owner->totals.answered;
    this->owner->end(this->ticket, this->call.traffic_class, this->owner->loop->now() - this->dispatched_at,
                     this->slowdown_at_dispatch);
    const auto callbacks = std::exchange(this->events, std::make_shared<hooks>());
    if (callbacks->on_end)
    {
        callbacks->on_end(this->context());
    }
}

void local_channel::handle_failure(const http::client_failure& failure)
{
    const auto self = this->shared_from_this();
    if (failure.error.category() == http::category() &&
        observability::is_request_logged(observability::log_level::info, this->call.id))
    {
        observability::log_record{"upstream_response_rejected"}
            .with("id", this->call.id)
            .with("upstream", this->owner->identity)
            .with("code", failure.error.value())
            .with("reason", failure.error.message())
            .with("ran_us", this->owner->loop->now() - this->dispatched_at)
            .write(observability::log_level::info);
    }
    if (this->refusal_reason)
    {
        // The header section of the refusal was complete.
        this->end_refused(false);
        return;
    }
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
    const auto self = this->shared_from_this();
    if (this->phase == state::waiting)
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
    const auto self = this->shared_from_this();
    this->fail(attempts::refused{attempts::refusal_proof::admission_refused, std::move(better)}, reason);
}

void local_channel::fail(attempts::attempt_event event, std::error_code reason)
{
    if (this->phase == state::ended)
    {
        return;
    }
    this->phase = state::ended;
    this->deadline_timer.cancel();
    this->log_end(reason);
    ++this->owner->totals.failed;
    if (reason.category() == category() && reason != errc::upstream_not_accepting && this->owner->events.on_failure)
    {
        this->owner->events.on_failure(reason);
    }
    this->owner->end(this->ticket, this->call.traffic_class, std::nullopt, this->slowdown_at_dispatch);
    const auto callbacks = std::exchange(this->events, std::make_shared<hooks>());
    if (callbacks->on_failed)
    {
        const bool not_run = std::holds_alternative<attempts::refused>(event);
        callbacks->on_failed({std::move(event), reason, !not_run, this->context()});
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
    this->owner->pool->release(closing, this->refusal_reason ? std::string_view{this->call.id} : std::string_view{});
}

void local_channel::send_body(std::string_view bytes)
{
    if (this->phase == state::ended)
    {
        return;
    }
    if (this->connection)
    {
        this->connection->send_body(bytes);
        return;
    }
    this->buffered_body.append(bytes);
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
    if (this->phase == state::ended)
    {
        return;
    }
    const auto self = this->shared_from_this();
    this->phase = state::ended;
    this->deadline_timer.cancel();
    this->log_end(errc::caller_gone);
    this->events = std::make_shared<hooks>();
    this->close_connection(false);
    ++this->owner->totals.cancelled;
    this->owner->end(this->ticket, this->call.traffic_class, std::nullopt, this->slowdown_at_dispatch);
}

std::size_t local_channel::pending_bytes() const noexcept
{
    return this->connection ? this->connection->pending_bytes() : this->buffered_body.size();
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
