#include "poplarport/http/detail/server_connection.hpp"

#include <chrono>  // seconds
#include <cstddef> // size_t
#include <utility> // exchange, move

#include "poplarport/http/errors.hpp"

namespace poplarport::http::detail
{

namespace
{

// Time for the caller to read an answer that was sent before its request was complete; closing at once would reset
// the connection and could destroy the answer.
constexpr std::chrono::seconds linger_time{2};

// Overlapping requests of one connection; a caller that pipelines more of them waits for answers.
constexpr std::size_t greatest_overlap = 16;

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
                                 if (!this->exchanges.empty() && this->exchanges.front()->events->on_writable)
                                 {
                                     const auto running = this->exchanges.front()->events;
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
    this->cancel_exchanges(reason);
    this->owner->connections.erase(keep);
}

void server_connection::cancel_exchanges(std::error_code reason)
{
    for (const auto& exchange : std::exchange(this->exchanges, {}))
    {
        exchange->ended = true;
        const auto running = std::exchange(exchange->events, std::make_shared<server_exchange::hooks>());
        if (running->on_cancelled)
        {
            running->on_cancelled(reason);
        }
    }
}

void server_connection::close_if_idle()
{
    const bool is_idle = this->exchanges.empty() && !this->waiting && !this->parser.has_started();
    if (!this->lingering && is_idle && this->parser.unused_bytes() == 0)
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
    while (this->remove_completed_exchange() || (!this->closed && !this->lingering && this->process_step()))
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
    if (this->waiting)
    {
        return this->can_begin() && this->take(*std::exchange(this->waiting, std::nullopt));
    }
    if (!this->can_parse())
    {
        return false;
    }
    const bool was_started = this->parser.has_started();
    auto step = this->parser.step();
    if (step.error)
    {
        this->refuse(step.error);
        return false;
    }
    if (!was_started && this->parser.has_started())
    {
        this->arm_timer();
    }
    if (step.header_complete && !this->can_begin())
    {
        this->timeout.cancel();
        this->waiting = std::move(step);
        return false;
    }
    return this->take(step);
}

bool server_connection::can_parse() const
{
    if (this->exchanges.empty())
    {
        return true;
    }
    const auto& newest = *this->exchanges.back();
    if (!newest.body_received)
    {
        return this->reading;
    }
    // The last answer before a stop closes the connection, so no other request is taken behind it.
    return newest.may_overlap && !this->fault && !this->owner->draining && this->exchanges.size() < greatest_overlap;
}

bool server_connection::can_begin()
{
    return this->exchanges.empty() || (this->may_overlap(this->parser.request()) && !this->owner->draining);
}

bool server_connection::may_overlap(const request_header& head) const
{
    const bool keeps_connection = head.keep_alive && head.minor_version > 0;
    return keeps_connection && head.framing == body_framing::none && this->owner->overlap && this->owner->overlap(head);
}

bool server_connection::take(const parse_step& step)
{
    const bool goes_on = !step.needs_more || step.message_complete;
    if (step.header_complete && !this->begin_exchange())
    {
        return false;
    }
    this->deliver(step);
    return goes_on || (!this->exchanges.empty() && this->exchanges.front()->ended);
}

bool server_connection::begin_exchange()
{
    this->timeout.cancel();
    auto head = std::move(this->parser.request());
    const bool overlaps = this->may_overlap(head);
    const auto exchange = std::make_shared<connection_exchange>(this->weak_from_this(), std::move(head), overlaps,
                                                                this->exchanges.empty());
    this->exchanges.push_back(exchange);
    this->owner->request(exchange);
    if (this->closed || this->lingering)
    {
        return false;
    }
    const bool awaits_continue =
        exchange->head.framing != body_framing::none && exchange->head.fields.contains_token("Expect", "100-continue");
    if (awaits_continue && !exchange->header_sent && !exchange->ended)
    {
        constexpr int continue_status = 100;
        exchange->send_interim({.status = continue_status});
    }
    return true;
}

void server_connection::deliver(const parse_step& step)
{
    if (this->exchanges.empty())
    {
        return;
    }
    const auto exchange = this->exchanges.back();
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
    if (step.message_complete)
    {
        this->parser.start();
    }
}

void server_connection::refuse(std::error_code error)
{
    if (!this->exchanges.empty() && this->exchanges.back()->body_received)
    {
        // The fault is in a later request, whose refusal follows the answers to the earlier ones.
        this->fault = error;
        return;
    }
    const bool can_answer = this->exchanges.empty() || !this->exchanges.front()->header_sent;
    this->cancel_exchanges(error);
    if (this->closed)
    {
        return;
    }
    if (!can_answer)
    {
        this->close(error);
        return;
    }
    response_header head{.status = status_of(error), .framing = body_framing::fixed, .keep_alive = false};
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

bool server_connection::remove_completed_exchange()
{
    const bool is_over = this->closed || this->lingering;
    if (is_over || this->exchanges.empty() || !this->exchanges.front()->ended)
    {
        return false;
    }
    const auto exchange = std::move(this->exchanges.front());
    this->exchanges.pop_front();
    if (!exchange->body_received || !exchange->keep_alive)
    {
        this->close_after_output();
        this->cancel_exchanges(net::errc::connection_closed);
        return false;
    }
    if (!this->exchanges.empty())
    {
        const auto next = this->exchanges.front();
        next->release_held();
        return true;
    }
    if (this->fault)
    {
        this->refuse(this->fault);
        return false;
    }
    this->reading = true;
    this->arm_timer();
    return true;
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

} // namespace poplarport::http::detail
