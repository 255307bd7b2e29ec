#include "poplarport/peer/link.hpp"

#include <algorithm> // clamp
#include <utility>   // exchange, move

#include "poplarport/peer/detail/link_session.hpp"
#include "poplarport/peer/errors.hpp"

namespace poplarport::peer
{

link::link(std::shared_ptr<state> shared) noexcept : data(std::move(shared))
{
}

link::~link()
{
    if (this->data)
    {
        this->data->close_all();
    }
}

link::link(link&&) noexcept = default;

link& link::operator=(link&& other) noexcept
{
    if (this != &other)
    {
        if (this->data)
        {
            this->data->close_all();
        }
        this->data = std::move(other.data);
    }
    return *this;
}

std::shared_ptr<client_call> link::start(const http::request_header& header, client_call::hooks events)
{
    const auto shared = this->data;
    auto refusal = std::error_code{};
    std::shared_ptr<detail::link_session> session;
    if (shared->closed)
    {
        refusal = errc::link_closed;
    }
    else if (shared->call_count() >= shared->active_limits.calls)
    {
        refusal = errc::link_full;
    }
    else
    {
        session = shared->usable_session();
        refusal = session ? std::error_code{} : errc::link_backing_off;
    }
    const auto call = std::make_shared<detail::client_stream>(session, header, std::move(events));
    if (!refusal && !session->submit_request(call, detail::encode(header), header.framing != http::body_framing::none))
    {
        refusal = errc::going_away;
    }
    if (refusal)
    {
        call->fail_later(*shared->loop, refusal);
    }
    return call;
}

void link::close()
{
    this->data->close_all();
}

const core::socket_address& link::address() const noexcept
{
    return this->data->target;
}

bool link::is_connected() const noexcept
{
    const auto& current = this->data->current;
    return current && current->is_usable() && current->is_connected();
}

std::size_t link::call_count() const noexcept
{
    return this->data->call_count();
}

const counters& link::statistics() const noexcept
{
    return *this->data->totals;
}

std::shared_ptr<detail::link_session> link::state::usable_session()
{
    if (this->current && this->current->is_usable())
    {
        return this->current;
    }
    if (this->loop->now() < this->next_attempt)
    {
        return nullptr;
    }
    auto opened = std::make_shared<detail::link_session>(this->shared_from_this());
    this->current = opened;
    this->sessions.insert(opened);
    opened->start(net::stream_socket::connect(*this->loop, this->target, this->active_limits.connect_timeout, {}));
    return opened;
}

std::size_t link::state::call_count() const noexcept
{
    std::size_t total = 0;
    for (const auto& session : this->sessions)
    {
        total += session->stream_count();
    }
    return total;
}

void link::state::close_all()
{
    this->closed = true;
    this->current.reset();
    const auto open = std::exchange(this->sessions, {});
    for (const auto& session : open)
    {
        session->close(errc::link_closed);
    }
}

void link::state::increase_backoff()
{
    this->backoff = std::clamp(this->backoff * 2, this->active_limits.initial_backoff, this->active_limits.max_backoff);
    this->next_attempt = this->loop->now() + this->backoff;
}

link::builder& link::builder::connect_to(core::socket_address address)
{
    this->target = std::move(address);
    return *this;
}

link::builder& link::builder::with_limits(const limits& new_limits)
{
    this->active_limits = new_limits;
    return *this;
}

link::builder& link::builder::with_hooks(hooks events)
{
    this->owner_hooks = std::move(events);
    return *this;
}

link link::builder::build(net::event_loop& loop) const
{
    auto shared = std::make_shared<state>();
    shared->loop = &loop;
    shared->target = this->target;
    shared->active_limits = this->active_limits;
    shared->owner_hooks = this->owner_hooks;
    return link{std::move(shared)};
}

} // namespace poplarport::peer
