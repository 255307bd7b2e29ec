#include "poplarport/peer/detail/link_session.hpp"

#include <utility> // exchange, move

#include "poplarport/peer/errors.hpp"

namespace poplarport::peer::detail
{

namespace
{

// The other side opens no streams on a link's connection.
constexpr std::uint32_t incoming_streams = 0;

} // namespace

link_session::link_session(const std::shared_ptr<link::state>& link)
    : session(*link->loop, session_role::client,
              {.header_bytes = link->chosen.header_bytes,
               .streams = incoming_streams,
               .check_after = link->chosen.check_after,
               .silent_after = link->chosen.silent_after,
               .idle_check_after = link->chosen.idle_check_after},
              link->totals),
      owner(link)
{
}

std::shared_ptr<stream> link_session::accept_stream()
{
    return nullptr;
}

void link_session::handle_connected()
{
    if (const auto target = this->owner.lock(); target && target->owner_hooks.on_connected)
    {
        target->owner_hooks.on_connected();
    }
}

void link_session::handle_first_bytes()
{
    this->was_useful = true;
    if (const auto target = this->owner.lock())
    {
        target->backoff = core::duration{0};
    }
}

void link_session::handle_closed(std::error_code reason)
{
    const auto target = this->owner.lock();
    if (!target)
    {
        return;
    }
    const auto self = std::static_pointer_cast<link_session>(this->shared_from_this());
    target->sessions.erase(self);
    if (target->current == self)
    {
        target->current.reset();
        if (!this->was_useful)
        {
            target->increase_backoff();
        }
    }
    if (target->owner_hooks.on_closed)
    {
        target->owner_hooks.on_closed(reason);
    }
}

client_stream::client_stream(std::weak_ptr<session> carrying, const http::request_header& head, hooks values)
    : stream(std::move(carrying)), events(std::make_shared<hooks>(std::move(values))),
      request_was_head(head.method == "HEAD"), is_fixed(head.framing == http::body_framing::fixed),
      remaining(head.content_length)
{
    this->output_ended = head.framing == http::body_framing::none;
}

void client_stream::send_body(std::string_view bytes)
{
    if (this->ended || this->output_ended || bytes.empty())
    {
        return;
    }
    if (this->is_fixed)
    {
        if (bytes.size() > this->remaining)
        {
            this->give_up();
            return;
        }
        this->remaining -= bytes.size();
    }
    this->queue_output(bytes);
}

void client_stream::finish_request()
{
    if (this->ended || this->output_ended)
    {
        return;
    }
    if (this->is_fixed && this->remaining != 0)
    {
        this->give_up();
        return;
    }
    this->end_output();
}

void client_stream::set_reading(bool enabled)
{
    if (!this->ended)
    {
        this->set_input_enabled(enabled);
    }
}

proof client_stream::cancel()
{
    const auto result = this->packed ? proof::none : proof::not_sent;
    if (std::exchange(this->ended, true))
    {
        return result;
    }
    this->events = std::make_shared<hooks>();
    if (const auto session = this->carrier.lock())
    {
        session->reset_stream(*this, NGHTTP2_CANCEL);
    }
    return result;
}

void client_stream::give_up()
{
    const auto session = this->carrier.lock();
    if (!session)
    {
        return;
    }
    const auto not_run = this->packed ? proof::none : proof::not_sent;
    session->reset_stream(*this, NGHTTP2_CANCEL);
    session->event_loop().post(
        [self = std::static_pointer_cast<client_stream>(this->shared_from_this()), not_run] {
            self->fail({errc::wrong_length, not_run, self->header_received});
        });
}

std::size_t client_stream::pending_bytes() const noexcept
{
    return this->queued_bytes();
}

void client_stream::fail_later(net::event_loop& loop, std::error_code error)
{
    loop.post(
        [self = std::static_pointer_cast<client_stream>(this->shared_from_this()), error] {
            self->fail({error, proof::not_sent, false});
        });
}

bool client_stream::receive_header(const header_block& received, bool has_body)
{
    if (this->header_received)
    {
        // Trailer fields: none of the project's messages has any, and the call has no place for them.
        return !has_body;
    }
    auto decoded = received.to_response(has_body, this->request_was_head);
    if (!decoded)
    {
        return false;
    }
    const auto running = this->events;
    constexpr int first_final_status = 200;
    if (decoded->status < first_final_status)
    {
        if (running->on_interim)
        {
            running->on_interim(*decoded);
        }
        return has_body;
    }
    this->header_received = true;
    if (running->on_response_header)
    {
        running->on_response_header(*decoded);
    }
    return true;
}

void client_stream::receive_body(std::string_view bytes)
{
    const auto running = this->events;
    if (!this->ended && running->on_body)
    {
        running->on_body(bytes);
    }
}

void client_stream::receive_end()
{
    if (std::exchange(this->ended, true))
    {
        return;
    }
    const auto running = std::exchange(this->events, std::make_shared<hooks>());
    if (running->on_end)
    {
        running->on_end();
    }
}

void client_stream::output_drained()
{
    const auto running = this->events;
    if (!this->ended && running->on_writable)
    {
        running->on_writable();
    }
}

void client_stream::closed(std::error_code error, proof not_run)
{
    // A whole answer that a paused reader has not taken yet is still delivered.
    if (!this->input_ended)
    {
        this->fail({error, not_run, this->header_received});
    }
}

void client_stream::fail(const call_failure& failure)
{
    if (std::exchange(this->ended, true))
    {
        return;
    }
    const auto running = std::exchange(this->events, std::make_shared<hooks>());
    if (running->on_failed)
    {
        running->on_failed(failure);
    }
}

} // namespace poplarport::peer::detail
