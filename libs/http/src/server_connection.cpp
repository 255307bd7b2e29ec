#include "poplarport/http/detail/server_connection.hpp"

#include <chrono>  // seconds
#include <utility> // exchange, move

#include "poplarport/http/errors.hpp"

namespace poplarport::http::detail
{

namespace
{

// Time for the caller to read an answer that was sent before its request was complete; closing at once would reset
// the connection and could destroy the answer.
constexpr std::chrono::seconds linger_time{2};

} // namespace

server_connection::server_connection(server::state& server, std::unique_ptr<net::stream_socket> accepted)
    : owner(&server), socket(std::move(accepted)), parser(message_parser::kind::request, server.chosen.header_bytes),
      timeout(*server.loop, [this] { this->handle_timeout(); })
{
}

void server_connection::start()
{
    this->socket->set_hooks({.on_connected = {},
                             .on_bytes = [this](std::string_view bytes) { this->handle_bytes(bytes); },
                             .on_drained =
                                 [this]
                             {
                                 const auto keep = this->shared_from_this();
                                 if (this->current && this->current->events->on_writable)
                                 {
                                     const auto running = this->current->events;
                                     running->on_writable();
                                 }
                             },
                             .on_closed =
                                 [this](std::error_code reason)
                             {
                                 this->close(reason);
                             }});
    this->arm_timer();
}

void server_connection::close(std::error_code reason)
{
    if (this->closed)
    {
        return;
    }
    const auto keep = this->shared_from_this();
    this->closed = true;
    this->timeout.cancel();
    this->socket->close();
    const auto exchange = std::exchange(this->current, nullptr);
    if (exchange && !exchange->ended)
    {
        exchange->ended = true;
        const auto running = std::exchange(exchange->events, std::make_shared<server_exchange::hooks>());
        if (running->on_cancelled)
        {
            running->on_cancelled(reason);
        }
    }
    this->owner->connections.erase(keep);
}

void server_connection::close_if_idle()
{
    if (!this->lingering && !this->current && !this->parser.has_started() && this->parser.unused_bytes() == 0)
    {
        // The caller may have sent a request that has not arrived yet. It is not run, and with an answer that says so
        // its caller need not take the end of the connection for an unknown outcome (RFC 9110, section 15.5.9).
        this->refuse(errc::timed_out);
    }
}

void server_connection::handle_bytes(std::string_view bytes)
{
    if (this->lingering)
    {
        return;
    }
    const auto keep = this->shared_from_this();
    this->parser.append(bytes);
    this->process();
}

void server_connection::handle_timeout()
{
    const auto keep = this->shared_from_this();
    if (!this->lingering && this->parser.has_started())
    {
        this->refuse(errc::timed_out);
        return;
    }
    this->close(net::errc::connection_closed);
}

void server_connection::process()
{
    if (this->processing)
    {
        return;
    }
    this->processing = true;
    while (!this->closed && !this->lingering && this->process_step())
    {
    }
    this->processing = false;
    if (!this->closed && !this->lingering)
    {
        // Bytes of pipelined requests wait here; beyond one header section TCP holds the caller back.
        const bool has_room = this->parser.unused_bytes() <= this->owner->chosen.header_bytes;
        this->socket->set_reading(this->reading && has_room);
    }
}

bool server_connection::process_step()
{
    if (this->current && (this->current->body_received || !this->reading))
    {
        return false;
    }
    const bool was_started = this->parser.has_started();
    const auto step = this->parser.step();
    if (step.error)
    {
        this->refuse(step.error);
        return false;
    }
    if (!was_started && this->parser.has_started())
    {
        this->arm_timer();
    }
    const bool goes_on = !step.needs_more || step.message_complete;
    if (step.head_complete && !this->begin_exchange())
    {
        return false;
    }
    this->deliver(step);
    return goes_on;
}

bool server_connection::begin_exchange()
{
    this->timeout.cancel();
    const auto exchange =
        std::make_shared<connection_exchange>(this->weak_from_this(), std::move(this->parser.request()));
    this->current = exchange;
    this->owner->request(exchange);
    if (this->closed || this->lingering)
    {
        return false;
    }
    const bool awaits_continue =
        exchange->head.framing != body_framing::none && exchange->head.fields.contains_token("Expect", "100-continue");
    if (awaits_continue && !exchange->head_sent && !exchange->ended)
    {
        constexpr int continue_status = 100;
        exchange->send_interim({.status = continue_status});
    }
    return true;
}

void server_connection::deliver(const parse_step& step)
{
    const auto exchange = this->current;
    if (!exchange)
    {
        return;
    }
    if (step.message_complete)
    {
        exchange->body_received = true;
    }
    const auto running = exchange->events;
    if (!step.body.empty() && running->on_body && !exchange->ended)
    {
        running->on_body(step.body);
    }
    if (step.message_complete && running->on_body_end && !exchange->ended && !this->closed)
    {
        running->on_body_end();
    }
    if (exchange->ended && this->current == exchange)
    {
        this->end_exchange();
    }
}

void server_connection::refuse(std::error_code error)
{
    const auto exchange = std::exchange(this->current, nullptr);
    const bool can_answer = !exchange || !exchange->head_sent;
    if (exchange && !exchange->ended)
    {
        exchange->ended = true;
        const auto running = std::exchange(exchange->events, std::make_shared<server_exchange::hooks>());
        if (running->on_cancelled)
        {
            running->on_cancelled(error);
        }
    }
    if (this->closed)
    {
        return;
    }
    if (!can_answer)
    {
        this->close(error);
        return;
    }
    response_head head{.status = status_of(error), .framing = body_framing::fixed, .keep_alive = false};
    const auto text = error.message() + "\n";
    head.fields.add("Content-Type", "text/plain");
    head.content_length = text.size();
    if (this->owner->refusal)
    {
        this->owner->refusal(error, head);
    }
    this->socket->send(serialize(head) + text);
    this->close_after_output();
}

void server_connection::end_exchange()
{
    const auto exchange = std::exchange(this->current, nullptr);
    if (!exchange->body_received || !exchange->keep_alive)
    {
        this->close_after_output();
        return;
    }
    this->parser.start();
    this->reading = true;
    this->arm_timer();
    this->process();
}

void server_connection::close_after_output()
{
    this->lingering = true;
    this->socket->set_reading(true);
    this->socket->finish_output();
    this->timeout.schedule(linger_time);
}

void server_connection::arm_timer()
{
    const auto& chosen = this->owner->chosen;
    this->timeout.schedule(this->parser.has_started() ? chosen.header_timeout : chosen.idle_timeout);
}

connection_exchange::connection_exchange(std::weak_ptr<server_connection> carrier, request_head received)
    : connection(std::move(carrier)), head(std::move(received))
{
}

const request_head& connection_exchange::request() const noexcept
{
    return this->head;
}

void connection_exchange::set_hooks(hooks values)
{
    this->events = std::make_shared<hooks>(std::move(values));
}

void connection_exchange::set_reading(bool enabled)
{
    const auto carrier = this->connection.lock();
    if (!carrier || this->ended || carrier->closed || carrier->reading == enabled)
    {
        return;
    }
    carrier->reading = enabled;
    carrier->process();
}

void connection_exchange::send_interim(const response_head& interim)
{
    const auto carrier = this->connection.lock();
    if (carrier && !this->ended && !this->head_sent && this->head.minor_version > 0)
    {
        carrier->socket->send(serialize(interim));
    }
}

void connection_exchange::send_head(response_head answer)
{
    const auto carrier = this->connection.lock();
    if (!carrier || this->ended || this->head_sent)
    {
        return;
    }
    this->head_sent = true;
    if (answer.framing == body_framing::chunked && this->head.minor_version == 0)
    {
        answer.framing = body_framing::until_close;
    }
    const bool is_last = answer.framing == body_framing::until_close || carrier->owner->draining;
    answer.keep_alive = answer.keep_alive && this->head.keep_alive && this->head.minor_version > 0 && !is_last &&
                        (this->body_received || this->head.framing != body_framing::none);
    this->framing = answer.framing;
    this->remaining = answer.content_length;
    this->keep_alive = answer.keep_alive;
    this->body_allowed = this->head.method != "HEAD" && !is_bodyless_status(answer.status);
    carrier->socket->send(serialize(answer));
}

void connection_exchange::send_body(std::string_view bytes)
{
    const auto carrier = this->connection.lock();
    if (!carrier || this->ended || !this->head_sent || !this->body_allowed || bytes.empty())
    {
        return;
    }
    if (this->framing == body_framing::chunked)
    {
        carrier->socket->send(serialize_chunk(bytes));
        return;
    }
    if (this->framing == body_framing::fixed)
    {
        if (bytes.size() > this->remaining)
        {
            this->abort();
            return;
        }
        this->remaining -= bytes.size();
    }
    carrier->socket->send(bytes);
}

void connection_exchange::finish()
{
    const auto carrier = this->connection.lock();
    if (!carrier || this->ended)
    {
        return;
    }
    const bool is_short = this->framing == body_framing::fixed && this->remaining != 0 && this->body_allowed;
    if (!this->head_sent || is_short)
    {
        this->abort();
        return;
    }
    if (this->framing == body_framing::chunked && this->body_allowed)
    {
        carrier->socket->send(last_chunk);
    }
    this->ended = true;
    this->events = std::make_shared<hooks>();
    if (!carrier->processing && carrier->current.get() == this)
    {
        carrier->end_exchange();
    }
}

void connection_exchange::abort()
{
    const auto carrier = this->connection.lock();
    if (!carrier || this->ended)
    {
        return;
    }
    this->ended = true;
    this->events = std::make_shared<hooks>();
    // A caller that reads until the end of the connection must not take an aborted answer for a whole one.
    carrier->socket->reset();
    carrier->close(net::errc::connection_reset);
}

std::size_t connection_exchange::pending_bytes() const noexcept
{
    const auto carrier = this->connection.lock();
    return carrier && !carrier->closed ? carrier->socket->pending_bytes() : 0;
}

bool connection_exchange::request_complete() const noexcept
{
    return this->body_received;
}

core::socket_address connection_exchange::caller() const
{
    const auto carrier = this->connection.lock();
    return carrier ? carrier->socket->remote_address() : core::socket_address{};
}

} // namespace poplarport::http::detail
