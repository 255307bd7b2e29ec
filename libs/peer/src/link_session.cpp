#include "poplarport/peer/detail/link_session.hpp"

#include <utility> // exchange, move

#include "poplarport/peer/errors.hpp"

namespace poplarport::peer::detail
{

namespace
{

// The other side of a link never opens streams.
constexpr std::uint32_t max_incoming_streams = 0;

// A body of this size takes 13 ms on a link of 10 Mbit/s.
constexpr std::uint64_t min_large_body_bytes = 16'384;

} // namespace

link_session::link_session(const std::shared_ptr<link::state>& link)
    : session(*link->loop, session_role::client,
              {.header_bytes = link->active_limits.header_bytes,
               .streams = max_incoming_streams,
               .check_after = link->active_limits.check_after,
               .silent_after = link->active_limits.silent_after,
               .idle_check_after = link->active_limits.idle_check_after},
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
    if (const auto state = this->owner.lock(); state && state->owner_hooks.on_connected)
    {
        state->owner_hooks.on_connected();
    }
}

void link_session::handle_first_bytes()
{
    this->has_received = true;
    if (const auto state = this->owner.lock())
    {
        state->backoff = core::duration{0};
    }
}

void link_session::handle_closed(std::error_code reason)
{
    const auto state = this->owner.lock();
    if (!state)
    {
        return;
    }
    const auto self = std::static_pointer_cast<link_session>(this->shared_from_this());
    state->sessions.erase(self);
    if (state->current == self)
    {
        state->current.reset();
        if (!this->has_received)
        {
            state->increase_backoff();
        }
    }
    if (state->owner_hooks.on_closed)
    {
        state->owner_hooks.on_closed(reason);
    }
}

client_stream::client_stream(std::weak_ptr<session> owner, const http::request_header& header, hooks callbacks)
    : stream(std::move(owner)), events(std::make_shared<hooks>(std::move(callbacks))),
      request_was_head(header.method == "HEAD"), is_fixed(header.framing == http::body_framing::fixed),
      remaining(header.content_length)
{
    this->output_ended = header.framing == http::body_framing::none;
    this->has_large_output = this->is_fixed && header.content_length >= min_large_body_bytes;
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
            this->fail_wrong_length();
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
        this->fail_wrong_length();
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
    if (const auto session = this->owning_session.lock())
    {
        session->reset_stream(*this, NGHTTP2_CANCEL);
    }
    return result;
}

void client_stream::fail_wrong_length()
{
    const auto session = this->owning_session.lock();
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
        // Trailer fields are discarded: the messages between nodes have none, and client_call has no callback for them.
        return !has_body;
    }
    auto decoded = received.to_response(has_body, this->request_was_head);
    if (!decoded)
    {
        return false;
    }
    const auto callbacks = this->events;
    constexpr int first_final_status = 200;
    if (decoded->status < first_final_status)
    {
        if (callbacks->on_interim)
        {
            callbacks->on_interim(*decoded);
        }
        return has_body;
    }
    this->header_received = true;
    if (callbacks->on_response_header)
    {
        callbacks->on_response_header(*decoded);
    }
    return true;
}

void client_stream::receive_body(std::string_view bytes)
{
    const auto callbacks = this->events;
    if (!this->ended && callbacks->on_body)
    {
        callbacks->on_body(bytes);
    }
}

void client_stream::receive_end()
{
    if (std::exchange(this->ended, true))
    {
        return;
    }
    const auto callbacks = std::exchange(this->events, std::make_shared<hooks>());
    if (callbacks->on_end)
    {
        callbacks->on_end();
    }
}

void client_stream::output_drained()
{
    const auto callbacks = this->events;
    if (!this->ended && callbacks->on_writable)
    {
        callbacks->on_writable();
    }
}

void client_stream::closed(std::error_code error, proof not_run)
{
    // A complete response that is buffered while reading is paused is still delivered.
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
    const auto callbacks = std::exchange(this->events, std::make_shared<hooks>());
    if (callbacks->on_failed)
    {
        callbacks->on_failed(failure);
    }
}

} // namespace poplarport::peer::detail
