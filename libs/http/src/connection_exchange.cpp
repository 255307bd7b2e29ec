#include "poplarport/http/detail/server_connection.hpp"

#include <utility> // move

namespace poplarport::http::detail
{

connection_exchange::connection_exchange(std::weak_ptr<server_connection> parent, request_header received,
                                         bool overlaps, bool is_first)
    : connection(std::move(parent)), header(std::move(received)), may_overlap(overlaps)
{
    // A request without a body is complete at once, so that a response sent in the request hook keeps the connection
    // open.
    this->body_received = this->header.framing == body_framing::none;
    if (!is_first)
    {
        this->buffered.emplace();
    }
}

const request_header& connection_exchange::request() const noexcept
{
    return this->header;
}

void connection_exchange::set_hooks(hooks new_hooks)
{
    this->events = std::make_shared<hooks>(std::move(new_hooks));
}

void connection_exchange::set_reading(bool enabled)
{
    const auto parent = this->connection.lock();
    if (!parent || this->has_ended() || this->body_received || parent->closed || parent->reading == enabled)
    {
        return;
    }
    parent->reading = enabled;
    parent->process();
}

void connection_exchange::send_interim(const response_header& interim)
{
    // Interim responses are optional; a caller that does not read gets no further ones, so that they are not kept.
    constexpr std::size_t max_pending_bytes = 16384;
    const auto parent = this->connection.lock();
    const bool may_send = parent && !this->ended && !this->buffered && !this->header_sent;
    if (may_send && this->header.minor_version > 0 && parent->socket->pending_bytes() <= max_pending_bytes)
    {
        parent->socket->send(serialize(interim));
    }
}

void connection_exchange::send_header(response_header response)
{
    const auto parent = this->connection.lock();
    if (!parent || this->has_ended() || this->header_sent)
    {
        return;
    }
    if (this->buffered)
    {
        this->buffered->header = std::move(response);
        return;
    }
    this->header_sent = true;
    if (response.framing == body_framing::chunked && this->header.minor_version == 0)
    {
        response.framing = body_framing::until_close;
    }
    const bool closes_for_drain = parent->server_state->draining && parent->exchanges.size() <= 1;
    const bool closes_connection = response.framing == body_framing::until_close || closes_for_drain;
    response.keep_alive =
        response.keep_alive && this->header.keep_alive && this->header.minor_version > 0 && !closes_connection;
    this->framing = response.framing;
    this->remaining = response.content_length;
    this->keep_alive = response.keep_alive;
    this->body_allowed = this->header.method != "HEAD" && !is_bodyless_status(response.status);
    parent->socket->send(serialize(response));
}

void connection_exchange::send_body(std::string_view bytes)
{
    const auto parent = this->connection.lock();
    if (!parent || this->has_ended() || bytes.empty())
    {
        return;
    }
    if (this->buffered)
    {
        this->buffered->body.append(bytes);
        return;
    }
    if (!this->header_sent || !this->body_allowed)
    {
        return;
    }
    if (this->framing == body_framing::chunked)
    {
        parent->socket->send(serialize_chunk(bytes));
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
    parent->socket->send(bytes);
}

void connection_exchange::finish()
{
    const auto parent = this->connection.lock();
    if (!parent || this->has_ended())
    {
        return;
    }
    if (this->buffered)
    {
        this->buffered->finished = true;
        this->events = std::make_shared<hooks>();
        parent->process();
        return;
    }
    const bool is_incomplete = this->framing == body_framing::fixed && this->remaining != 0 && this->body_allowed;
    if (!this->header_sent || is_incomplete)
    {
        this->abort();
        return;
    }
    if (this->framing == body_framing::chunked && this->body_allowed)
    {
        parent->socket->send(last_chunk);
    }
    this->ended = true;
    this->events = std::make_shared<hooks>();
    parent->process();
}

void connection_exchange::abort()
{
    const auto parent = this->connection.lock();
    if (!parent || this->has_ended())
    {
        return;
    }
    this->events = std::make_shared<hooks>();
    if (this->buffered)
    {
        this->buffered->aborted = true;
        return;
    }
    this->ended = true;
    if (this->framing == body_framing::until_close)
    {
        // A caller that reads until the end of the connection must not mistake an aborted response for a complete one.
        parent->socket->reset();
        parent->close(net::errc::connection_reset);
        return;
    }
    // The framing shows that the response is incomplete. A reset would discard the bytes of earlier responses that the
    // caller has not read yet.
    this->keep_alive = false;
    parent->process();
}

bool connection_exchange::has_ended() const noexcept
{
    return this->ended || (this->buffered && (this->buffered->finished || this->buffered->aborted));
}

bool connection_exchange::has_partial_response() const noexcept
{
    return !this->has_ended() && (this->header_sent || (this->buffered && this->buffered->header));
}

// Sends the buffered part of the response; called when the responses to all earlier requests are complete.
void connection_exchange::send_buffered()
{
    auto response = std::move(*this->buffered);
    this->buffered.reset();
    if (response.aborted)
    {
        // No byte of the response was sent, so closing the connection shows the caller that there is none.
        this->keep_alive = false;
        this->ended = true;
        return;
    }
    if (response.header)
    {
        this->send_header(std::move(*response.header));
        this->send_body(response.body);
    }
    if (response.finished)
    {
        this->finish();
        return;
    }
    const auto current_hooks = this->events;
    if (current_hooks->on_writable)
    {
        current_hooks->on_writable();
    }
}

std::size_t connection_exchange::pending_bytes() const noexcept
{
    if (this->buffered)
    {
        return this->buffered->body.size();
    }
    const auto parent = this->connection.lock();
    return parent && !parent->closed ? parent->socket->pending_bytes() : 0;
}

bool connection_exchange::request_complete() const noexcept
{
    return this->body_received;
}

bool connection_exchange::has_followers() const noexcept
{
    const auto parent = this->connection.lock();
    return parent && !parent->exchanges.empty() && parent->exchanges.back().get() != this;
}

core::socket_address connection_exchange::caller() const
{
    const auto parent = this->connection.lock();
    return parent ? parent->socket->remote_address() : core::socket_address{};
}

} // namespace poplarport::http::detail
