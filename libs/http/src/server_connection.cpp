#include "poplarport/http/detail/server_connection.hpp"

#include <algorithm> // ranges::any_of
#include <chrono>    // seconds
#include <cstddef>   // size_t
#include <utility>   // exchange, move

#include "poplarport/http/errors.hpp"

namespace poplarport::http::detail
{

namespace
{

// Time for the caller to read a response that was sent before its request was complete. Closing at once would reset the
// connection, and the response could be lost.
constexpr std::chrono::seconds linger_time{2};

// Limit on concurrent requests of one connection; further pipelined requests wait for a response to complete.
constexpr std::size_t max_overlapping_requests = 16;

} // namespace

server_connection::server_connection(server::state& server, std::unique_ptr<net::stream_socket> accepted)
    : server_state(&server), socket(std::move(accepted)),
      parser(message_parser::kind::request, server.active_limits.header_bytes),
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
                                 const auto self = this->shared_from_this();
                                 if (!this->exchanges.empty() && this->exchanges.front()->events->on_writable)
                                 {
                                     const auto current_hooks = this->exchanges.front()->events;
                                     current_hooks->on_writable();
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
    const auto self = this->shared_from_this();
    this->closed = true;
    this->timeout.cancel();
    this->socket->close();
    this->cancel_exchanges(reason);
    this->server_state->connections.erase(self);
}

void server_connection::cancel_exchanges(std::error_code reason)
{
    for (const auto& exchange : std::exchange(this->exchanges, {}))
    {
        exchange->ended = true;
        const auto current_hooks = std::exchange(exchange->events, std::make_shared<server_exchange::hooks>());
        if (current_hooks->on_cancelled)
        {
            current_hooks->on_cancelled(reason);
        }
    }
}

void server_connection::close_if_idle()
{
    const bool has_no_request = this->exchanges.empty() && !this->pending_step && !this->parser.has_started();
    if (!this->lingering && has_no_request && this->parser.unparsed_bytes() == 0)
    {
        // The caller may have sent a request that has not arrived yet. The response states that it was not run, so that
        // the caller need not treat the closed connection as an unknown outcome (RFC 9110, section 15.5.9).
        this->refuse(errc::timed_out);
    }
}

void server_connection::handle_bytes(std::string_view bytes)
{
    if (this->lingering)
    {
        return;
    }
    const auto self = this->shared_from_this();
    this->parser.append(bytes);
    this->process();
}

void server_connection::handle_timeout()
{
    const auto self = this->shared_from_this();
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
        // The parser buffers the bytes of pipelined requests. Reading pauses when they exceed one header section, so
        // that TCP flow control throttles the caller.
        const bool has_room = this->parser.unparsed_bytes() <= this->server_state->active_limits.header_bytes;
        this->socket->set_reading(this->reading && has_room);
    }
}

bool server_connection::process_step()
{
    if (this->pending_step)
    {
        return this->can_start() && this->handle_step(*std::exchange(this->pending_step, std::nullopt));
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
    if (step.header_complete && !this->can_start())
    {
        this->timeout.cancel();
        this->pending_step = std::move(step);
        return false;
    }
    return this->handle_step(step);
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
    // While the server drains, the last response closes the connection, so no further request is parsed.
    return newest.may_overlap && !this->pending_error && !this->server_state->draining &&
           this->exchanges.size() < max_overlapping_requests;
}

bool server_connection::can_start()
{
    if (this->exchanges.empty())
    {
        return true;
    }
    // A response that is aborted in part closes the connection, and a request behind it would run without an answer.
    const bool may_lose_response =
        std::ranges::any_of(this->exchanges, [](const auto& exchange) { return exchange->has_partial_response(); });
    return this->may_overlap(this->parser.request()) && !this->server_state->draining && !may_lose_response;
}

bool server_connection::may_overlap(const request_header& header) const
{
    const bool keeps_connection = header.keep_alive && header.minor_version > 0;
    return keeps_connection && header.framing == body_framing::none && this->server_state->overlap_predicate &&
           this->server_state->overlap_predicate(header);
}

bool server_connection::handle_step(const parse_step& step)
{
    const bool can_continue = !step.needs_more || step.message_complete;
    if (step.header_complete && !this->start_exchange())
    {
        return false;
    }
    this->deliver_body(step);
    return can_continue || (!this->exchanges.empty() && this->exchanges.front()->ended);
}

bool server_connection::start_exchange()
{
    this->timeout.cancel();
    if (this->socket->has_remote_closed())
    {
        // A late event loop reads the request and the close of its connection at the same time.
        this->close(net::errc::connection_closed);
        return false;
    }
    auto header = std::move(this->parser.request());
    const bool overlaps = this->may_overlap(header);
    const auto exchange = std::make_shared<connection_exchange>(this->weak_from_this(), std::move(header), overlaps,
                                                                this->exchanges.empty());
    this->exchanges.push_back(exchange);
    this->server_state->request_handler(exchange);
    if (this->closed || this->lingering)
    {
        return false;
    }
    const bool awaits_continue = exchange->header.framing != body_framing::none &&
                                 exchange->header.fields.contains_token("Expect", "100-continue");
    if (awaits_continue && !exchange->header_sent && !exchange->ended)
    {
        constexpr int continue_status = 100;
        exchange->send_interim({.status = continue_status});
    }
    return true;
}

void server_connection::deliver_body(const parse_step& step)
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
    const auto current_hooks = exchange->events;
    if (!step.body.empty() && current_hooks->on_body && !exchange->ended)
    {
        current_hooks->on_body(step.body);
    }
    if (step.message_complete && current_hooks->on_body_end && !exchange->ended && !this->closed)
    {
        current_hooks->on_body_end();
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
        // The error is in a later request; it is refused after the responses to the earlier ones.
        this->pending_error = error;
        return;
    }
    const bool can_respond = this->exchanges.empty() || !this->exchanges.front()->header_sent;
    this->cancel_exchanges(error);
    if (this->closed)
    {
        return;
    }
    if (!can_respond)
    {
        this->close(error);
        return;
    }
    response_header header{.status = status_of(error), .framing = body_framing::fixed, .keep_alive = false};
    const auto text = error.message() + "\n";
    header.fields.add("Content-Type", "text/plain");
    header.content_length = text.size();
    if (this->server_state->refusal_handler)
    {
        this->server_state->refusal_handler(error, header);
    }
    this->socket->send(serialize(header) + text);
    this->close_after_output();
}

bool server_connection::remove_completed_exchange()
{
    const bool is_closing = this->closed || this->lingering;
    if (is_closing || this->exchanges.empty() || !this->exchanges.front()->ended)
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
        next->send_buffered();
        return true;
    }
    if (this->pending_error)
    {
        this->refuse(this->pending_error);
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
    const auto& limits = this->server_state->active_limits;
    this->timeout.schedule(this->parser.has_started() ? limits.header_timeout : limits.idle_timeout);
}

} // namespace poplarport::http::detail
