#include "poplarport/http/detail/server_connection.hpp"

#include <utility> // move

namespace poplarport::http::detail
{

connection_exchange::connection_exchange(std::weak_ptr<server_connection> carrier, request_header received,
                                         bool overlaps, bool is_first)
    : connection(std::move(carrier)), head(std::move(received)), may_overlap(overlaps)
{
    // Without a body the request is complete, so that an answer from within the request hook keeps the connection.
    this->body_received = this->head.framing == body_framing::none;
    if (!is_first)
    {
        this->held.emplace();
    }
}

const request_header& connection_exchange::request() const noexcept
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
    if (!carrier || this->is_over() || this->body_received || carrier->closed || carrier->reading == enabled)
    {
        return;
    }
    carrier->reading = enabled;
    carrier->process();
}

void connection_exchange::send_interim(const response_header& interim)
{
    const auto carrier = this->connection.lock();
    if (carrier && !this->ended && !this->held && !this->header_sent && this->head.minor_version > 0)
    {
        carrier->socket->send(serialize(interim));
    }
}

void connection_exchange::send_header(response_header answer)
{
    const auto carrier = this->connection.lock();
    if (!carrier || this->is_over() || this->header_sent)
    {
        return;
    }
    if (this->held)
    {
        this->held->head = std::move(answer);
        return;
    }
    this->header_sent = true;
    if (answer.framing == body_framing::chunked && this->head.minor_version == 0)
    {
        answer.framing = body_framing::until_close;
    }
    const bool stops_here = carrier->owner->draining && carrier->exchanges.size() <= 1;
    const bool is_last = answer.framing == body_framing::until_close || stops_here;
    answer.keep_alive = answer.keep_alive && this->head.keep_alive && this->head.minor_version > 0 && !is_last;
    this->framing = answer.framing;
    this->remaining = answer.content_length;
    this->keep_alive = answer.keep_alive;
    this->body_allowed = this->head.method != "HEAD" && !is_bodyless_status(answer.status);
    carrier->socket->send(serialize(answer));
}

void connection_exchange::send_body(std::string_view bytes)
{
    const auto carrier = this->connection.lock();
    if (!carrier || this->is_over() || bytes.empty())
    {
        return;
    }
    if (this->held)
    {
        this->held->body.append(bytes);
        return;
    }
    if (!this->header_sent || !this->body_allowed)
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
    if (!carrier || this->is_over())
    {
        return;
    }
    if (this->held)
    {
        this->held->finished = true;
        this->events = std::make_shared<hooks>();
        return;
    }
    const bool is_short = this->framing == body_framing::fixed && this->remaining != 0 && this->body_allowed;
    if (!this->header_sent || is_short)
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
    carrier->process();
}

void connection_exchange::abort()
{
    const auto carrier = this->connection.lock();
    if (!carrier || this->is_over())
    {
        return;
    }
    this->events = std::make_shared<hooks>();
    if (this->held)
    {
        this->held->aborted = true;
        return;
    }
    this->ended = true;
    // A caller that reads until the end of the connection must not take an aborted answer for a whole one.
    carrier->socket->reset();
    carrier->close(net::errc::connection_reset);
}

bool connection_exchange::is_over() const noexcept
{
    return this->ended || (this->held && (this->held->finished || this->held->aborted));
}

// The answers to the earlier requests are complete: sends what this answer has so far.
void connection_exchange::release_held()
{
    auto answer = std::move(*this->held);
    this->held.reset();
    if (answer.aborted)
    {
        // No byte was sent, so the end of the connection says that there is no answer.
        this->keep_alive = false;
        this->ended = true;
        return;
    }
    if (answer.head)
    {
        this->send_header(std::move(*answer.head));
        this->send_body(answer.body);
    }
    if (answer.finished)
    {
        this->finish();
        return;
    }
    const auto running = this->events;
    if (running->on_writable)
    {
        running->on_writable();
    }
}

std::size_t connection_exchange::pending_bytes() const noexcept
{
    if (this->held)
    {
        return this->held->body.size();
    }
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
