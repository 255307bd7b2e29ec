#include "poplarport/node/detail/peer_channel.hpp"

#include <chrono>  // milliseconds
#include <cstdint> // uint64_t
#include <utility> // exchange, move
#include <variant> // get, get_if

#include "poplarport/node/detail/forwarding.hpp"
#include "poplarport/node/detail/remote_error.hpp"
#include "poplarport/node/errors.hpp"
#include "poplarport/peer/errors.hpp"
#include "poplarport/peer/response_metadata.hpp"

namespace poplarport::node::detail
{

namespace
{

attempt_failure to_failure(const peer::call_failure& failure)
{
    switch (failure.not_run)
    {
    case peer::proof::not_sent:
        return {attempts::connection_lost{}, failure.error, false, {}};
    case peer::proof::refused_stream:
        return {attempts::refused_stream{}, failure.error, true, {}};
    case peer::proof::goaway_below:
    {
        // The link has already compared the stream numbers; any number above the last processed stream gives the same
        // proof.
        constexpr std::int32_t request_stream = 1;
        constexpr std::int32_t last_stream = 0;
        return {attempts::goaway{request_stream, last_stream}, failure.error, true, {}};
    }
    case peer::proof::none:
        break;
    }
    return {attempts::connection_lost{}, failure.error, true, {}};
}

constexpr int continue_status = 100;

// Smaller bodies cost the receiver's link less than the round trip costs the caller.
constexpr std::uint64_t min_held_body_bytes = 16'384;

// A node of an earlier version does not state that it has accepted a call.
constexpr std::chrono::milliseconds max_acceptance_wait{250};

// The receiver's result code indicates whether its upstream received the request.
attempts::refusal_proof proof_of(std::error_code reason)
{
    const bool is_shed = reason == errc::upstream_shed || reason == errc::misdirected;
    return is_shed ? attempts::refusal_proof::upstream_shed : attempts::refusal_proof::admission_refused;
}

// A node that has no configuration yet reports no slots.
bool has_report(const core::load_report& load) noexcept
{
    return load.slots != 0;
}

} // namespace

peer_channel::peer_channel(net::event_loop& loop, hooks callbacks)
    : events(std::make_shared<hooks>(std::move(callbacks))), acceptance_timer(loop, [this] { this->release_body(); })
{
}

void peer_channel::start(peer::link& link, const http::request_header& header)
{
    const bool is_large = header.framing == http::body_framing::fixed && header.content_length >= min_held_body_bytes;
    if (!is_large)
    {
        this->call = link.start(header, this->call_hooks());
        return;
    }
    this->holds_body = true;
    this->acceptance_timer.schedule(max_acceptance_wait);
    auto marked = header;
    marked.fields.set(awaits_acceptance_field, "1");
    this->call = link.start(marked, this->call_hooks());
}

void peer_channel::release_body()
{
    this->acceptance_timer.cancel();
    if (!std::exchange(this->holds_body, false) || this->ended)
    {
        return;
    }
    this->call->send_body(std::exchange(this->held_body, {}));
    if (this->body_finished)
    {
        this->call->finish_request();
    }
    const auto callbacks = this->events;
    if (callbacks->on_writable)
    {
        callbacks->on_writable();
    }
}

peer::client_call::hooks peer_channel::call_hooks()
{
    const auto weak = this->weak_from_this();
    return {.on_interim =
                [weak](const http::response_header& interim)
            {
                const auto self = weak.lock();
                if (self && interim.status == continue_status)
                {
                    self->release_body();
                    return;
                }
                if (self && self->events->on_interim)
                {
                    self->events->on_interim(interim);
                }
            },
            .on_response_header =
                [weak](http::response_header& header)
            {
                if (const auto self = weak.lock())
                {
                    self->handle_header(header);
                }
            },
            .on_body =
                [weak](std::string_view bytes)
            {
                const auto self = weak.lock();
                const auto callbacks = self ? self->events : nullptr;
                if (callbacks && callbacks->on_body)
                {
                    callbacks->on_body(bytes);
                }
            },
            .on_end =
                [weak]
            {
                if (const auto self = weak.lock())
                {
                    self->handle_end();
                }
            },
            .on_writable =
                [weak]
            {
                const auto self = weak.lock();
                const auto callbacks = self ? self->events : nullptr;
                if (callbacks && callbacks->on_writable)
                {
                    callbacks->on_writable();
                }
            },
            .on_failed =
                [weak](const peer::call_failure& failure)
            {
                if (const auto self = weak.lock())
                {
                    self->handle_failure(failure);
                }
            }};
}

void peer_channel::handle_header(http::response_header& header)
{
    const auto decoded = peer::decode_response_metadata(header.fields);
    const auto* const metadata = std::get_if<peer::response_metadata>(&decoded);
    if (metadata == nullptr)
    {
        this->call->cancel();
        this->fail({attempts::connection_lost{}, std::get<peer::metadata_error>(decoded).code, true, {}});
        return;
    }
    this->context = {has_report(metadata->load) ? std::optional{metadata->load} : std::nullopt,
                     metadata->config_version};
    const auto reason = error_from_code(metadata->code);
    if (metadata->result == core::outcome::answered)
    {
        remove_internal_fields(header.fields);
        const auto callbacks = this->events;
        if (callbacks->on_response_header)
        {
            callbacks->on_response_header(header, this->context);
        }
        return;
    }
    this->call->cancel();
    if (metadata->result == core::outcome::not_run)
    {
        this->fail({attempts::refused{proof_of(reason), metadata->better_peers}, reason, true, this->context});
        return;
    }
    this->fail({attempts::unknown_reported{}, reason, true, this->context});
}

void peer_channel::handle_end()
{
    this->ended = true;
    this->acceptance_timer.cancel();
    const auto callbacks = std::exchange(this->events, std::make_shared<hooks>());
    if (callbacks->on_end)
    {
        callbacks->on_end(this->context);
    }
}

void peer_channel::handle_failure(const peer::call_failure& failure)
{
    this->fail(to_failure(failure));
}

void peer_channel::fail(const attempt_failure& failure)
{
    this->ended = true;
    this->acceptance_timer.cancel();
    const auto callbacks = std::exchange(this->events, std::make_shared<hooks>());
    if (callbacks->on_failed)
    {
        callbacks->on_failed(failure);
    }
}

void peer_channel::send_body(std::string_view bytes)
{
    if (this->ended)
    {
        return;
    }
    if (this->holds_body)
    {
        this->held_body.append(bytes);
        return;
    }
    this->call->send_body(bytes);
}

void peer_channel::finish_request()
{
    this->body_finished = true;
    if (!this->ended && !this->holds_body)
    {
        this->call->finish_request();
    }
}

void peer_channel::set_reading(bool enabled)
{
    if (!this->ended)
    {
        this->call->set_reading(enabled);
    }
}

void peer_channel::cancel()
{
    if (std::exchange(this->ended, true))
    {
        return;
    }
    this->acceptance_timer.cancel();
    this->events = std::make_shared<hooks>();
    this->call->cancel();
}

std::size_t peer_channel::pending_bytes() const noexcept
{
    return this->ended ? 0 : this->call->pending_bytes() + this->held_body.size();
}

bool peer_channel::has_sent_bytes() const noexcept
{
    return true;
}

} // namespace poplarport::node::detail
