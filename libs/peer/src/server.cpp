#include "poplarport/peer/server.hpp"

#include <utility> // exchange, move

#include "poplarport/net/errors.hpp"
#include "poplarport/peer/detail/server_session.hpp"

namespace poplarport::peer
{

server::server(std::shared_ptr<state> shared) noexcept : data(std::move(shared))
{
}

server::~server()
{
    if (this->data)
    {
        this->data->close_all();
    }
}

server::server(server&&) noexcept = default;

server& server::operator=(server&& other) noexcept
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

core::socket_address server::address() const
{
    return this->data->bound_address;
}

std::size_t server::session_count() const noexcept
{
    return this->data->sessions.size();
}

std::size_t server::stream_count() const noexcept
{
    std::size_t total = 0;
    for (const auto& session : this->data->sessions)
    {
        total += session->stream_count();
    }
    return total;
}

const counters& server::statistics() const noexcept
{
    return *this->data->totals;
}

void server::drain()
{
    if (std::exchange(this->data->draining, true))
    {
        return;
    }
    const auto open = this->data->sessions;
    for (const auto& session : open)
    {
        session->drain(this->data->active_limits.drain_step);
    }
    // The hook runs in a later iteration of the event loop, so that the owner may destroy the server in it.
    this->data->loop->post(
        [weak = std::weak_ptr{this->data}]
        {
            if (const auto target = weak.lock())
            {
                target->notify_if_drained();
            }
        });
}

bool server::is_drained() const noexcept
{
    return this->data->draining && this->data->sessions.empty();
}

void server::stop_listening()
{
    if (this->data->listener)
    {
        this->data->listener->stop();
    }
    this->data->listener.reset();
}

void server::state::accept(std::unique_ptr<net::stream_socket> socket)
{
    if (this->sessions.size() >= this->active_limits.sessions)
    {
        return;
    }
    const auto session = std::make_shared<detail::server_session>(this->shared_from_this());
    this->sessions.insert(session);
    session->start(std::move(socket));
    if (this->draining)
    {
        session->drain(this->active_limits.drain_step);
    }
}

void server::state::close_all()
{
    this->listener.reset();
    this->drained_hook = {};
    const auto open = std::exchange(this->sessions, {});
    for (const auto& session : open)
    {
        session->close(net::errc::connection_closed);
    }
}

void server::state::notify_if_drained()
{
    if (this->draining && this->sessions.empty() && this->drained_hook)
    {
        const auto hook = std::exchange(this->drained_hook, {});
        hook();
    }
}

server::builder& server::builder::listen_on(core::socket_address address)
{
    this->listen_address = std::move(address);
    return *this;
}

server::builder& server::builder::on_call(call_hook hook)
{
    this->call = std::move(hook);
    return *this;
}

server::builder& server::builder::on_drained(std::function<void()> hook)
{
    this->drained_hook = std::move(hook);
    return *this;
}

server::builder& server::builder::with_limits(const limits& new_limits)
{
    this->active_limits = new_limits;
    return *this;
}

server server::builder::build(net::event_loop& loop) const
{
    auto shared = std::make_shared<state>();
    shared->loop = &loop;
    shared->active_limits = this->active_limits;
    shared->call = this->call;
    shared->drained_hook = this->drained_hook;
    auto* const target = shared.get();
    shared->listener = std::make_unique<net::listener>(loop, this->listen_address,
                                                       [target](std::unique_ptr<net::stream_socket> socket)
                                                       { target->accept(std::move(socket)); });
    shared->bound_address = shared->listener->address();
    return server{std::move(shared)};
}

} // namespace poplarport::peer
