#include "poplarport/peer/detail/server_session.hpp"

#include <utility> // exchange, move

#include "poplarport/peer/errors.hpp"

namespace poplarport::peer::detail
{

server_session::server_session(const std::shared_ptr<server::state>& server)
    : session(*server->loop, session_role::server,
              {.header_bytes = server->active_limits.header_bytes,
               .streams = server->active_limits.streams,
               .check_after = server->active_limits.idle_check_after,
               .silent_after = server->active_limits.silent_after,
               .idle_check_after = server->active_limits.idle_check_after},
              server->totals),
      owner(server)
{
}

void server_session::deliver(std::shared_ptr<server_call> call) const
{
    const auto state = this->owner.lock();
    if (!state || !state->call)
    {
        call->refuse_stream();
        return;
    }
    const auto hook = state->call;
    hook(std::move(call));
}

std::shared_ptr<stream> server_session::accept_stream()
{
    return std::make_shared<server_stream>(this->weak_from_this());
}

void server_session::handle_connected()
{
}

void server_session::handle_first_bytes()
{
}

void server_session::handle_closed(std::error_code /*reason*/)
{
    if (const auto state = this->owner.lock())
    {
        state->sessions.erase(std::static_pointer_cast<server_session>(this->shared_from_this()));
        state->notify_if_drained();
    }
}

server_stream::server_stream(std::weak_ptr<session> owner) noexcept : stream(std::move(owner))
{
}

const http::request_header& server_stream::request() const noexcept
{
    return this->header;
}

void server_stream::set_hooks(hooks new_hooks)
{
    this->events = std::make_shared<hooks>(std::move(new_hooks));
}

void server_stream::set_reading(bool enabled)
{
    if (!this->ended)
    {
        this->set_input_enabled(enabled);
    }
}

void server_stream::send_interim(const http::response_header& response)
{
    constexpr int continue_status = 100;
    constexpr int switching_protocols = 101;
    const auto session = this->owning_session.lock();
    if (!session || this->ended || this->header_sent || response.status == switching_protocols)
    {
        return;
    }
    // The other node holds the request body back until it receives status 100; other interim responses are optional.
    if (response.status == continue_status || !session->has_frame_backlog())
    {
        session->submit_interim(*this, encode(response));
    }
}

void server_stream::send_header(http::response_header response)
{
    const auto session = this->owning_session.lock();
    if (!session || this->ended || this->header_sent)
    {
        return;
    }
    this->header_sent = true;
    this->body_allowed = this->header.method != "HEAD" && !http::is_bodyless_status(response.status);
    this->is_fixed = response.framing == http::body_framing::fixed;
    this->remaining = response.content_length;
    session->submit_response(*this, encode(response));
}

void server_stream::send_body(std::string_view bytes)
{
    if (this->ended || !this->header_sent || !this->body_allowed || bytes.empty())
    {
        return;
    }
    if (this->is_fixed)
    {
        if (bytes.size() > this->remaining)
        {
            this->abort();
            return;
        }
        this->remaining -= bytes.size();
    }
    this->queue_output(bytes);
}

void server_stream::finish()
{
    if (this->ended)
    {
        return;
    }
    const bool is_short = this->is_fixed && this->remaining != 0 && this->body_allowed;
    if (!this->header_sent || is_short)
    {
        this->abort();
        return;
    }
    this->ended = true;
    this->events = std::make_shared<hooks>();
    // The rest of the request is not needed, but left in the buffer it would occupy the session's flow-control window.
    this->set_input_enabled(true);
    this->end_output();
}

void server_stream::abort()
{
    this->reset(NGHTTP2_INTERNAL_ERROR);
}

void server_stream::refuse_stream()
{
    if (this->ended)
    {
        return;
    }
    const auto session = this->owning_session.lock();
    if (session && !this->header_sent)
    {
        ++session->totals().refused;
    }
    this->reset(this->header_sent ? NGHTTP2_INTERNAL_ERROR : NGHTTP2_REFUSED_STREAM);
}

void server_stream::reset(std::uint32_t code)
{
    if (std::exchange(this->ended, true))
    {
        return;
    }
    this->events = std::make_shared<hooks>();
    if (const auto session = this->owning_session.lock())
    {
        session->reset_stream(*this, code);
    }
}

std::size_t server_stream::pending_bytes() const noexcept
{
    return this->queued_bytes();
}

bool server_stream::request_complete() const noexcept
{
    return this->end_delivered;
}

core::socket_address server_stream::caller() const
{
    const auto session = this->owning_session.lock();
    return session ? session->remote_address() : core::socket_address{};
}

session_clock& server_stream::clock() noexcept
{
    const auto session = this->owning_session.lock();
    return session ? session->clock() : this->fallback_clock;
}

core::time_point server_stream::received_at() const noexcept
{
    return this->header_received_at;
}

bool server_stream::receive_header(const header_block& received, bool has_body)
{
    if (this->header_received)
    {
        // Trailer fields are discarded: the messages between nodes have none, and server_exchange has no callback for
        // them.
        return !has_body;
    }
    auto decoded = received.to_request(has_body);
    const auto session = this->owning_session.lock();
    if (!decoded || !session)
    {
        return false;
    }
    this->header = std::move(*decoded);
    this->header_received = true;
    this->header_received_at = session->event_loop().now();
    static_cast<const server_session&>(*session).deliver(
        std::static_pointer_cast<server_stream>(this->shared_from_this()));
    return true;
}

void server_stream::receive_body(std::string_view bytes)
{
    const auto callbacks = this->events;
    if (!this->ended && callbacks->on_body)
    {
        callbacks->on_body(bytes);
    }
}

void server_stream::receive_end()
{
    const auto callbacks = this->events;
    if (!this->ended && callbacks->on_body_end)
    {
        callbacks->on_body_end();
    }
}

void server_stream::output_drained()
{
    const auto callbacks = this->events;
    if (!this->ended && callbacks->on_writable)
    {
        callbacks->on_writable();
    }
}

void server_stream::closed(std::error_code error, proof /*not_run*/)
{
    if (std::exchange(this->ended, true))
    {
        return;
    }
    const auto callbacks = std::exchange(this->events, std::make_shared<hooks>());
    if (callbacks->on_cancelled)
    {
        callbacks->on_cancelled(error);
    }
}

} // namespace poplarport::peer::detail
