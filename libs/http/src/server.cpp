#include "poplarport/http/server.hpp"

#include <utility> // move

#include "poplarport/http/detail/server_connection.hpp"
#include "poplarport/http/errors.hpp"
#include "poplarport/net/listener.hpp"

namespace poplarport::http
{

void respond(server_exchange& exchange, response_header head, std::string_view body)
{
    head.framing = body_framing::fixed;
    head.content_length = body.size();
    exchange.send_header(std::move(head));
    exchange.send_body(body);
    exchange.finish();
}

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

server& server::operator=(server&&) noexcept = default;

core::socket_address server::address() const
{
    return this->data->bound;
}

std::size_t server::connection_count() const noexcept
{
    return this->data->connections.size();
}

void server::set_limits(const limits& values)
{
    this->data->chosen = values;
}

void server::drain()
{
    this->data->draining = true;
}

void server::close_idle()
{
    const auto open = this->data->connections;
    for (const auto& connection : open)
    {
        connection->close_if_idle();
    }
}

void server::start_listening()
{
    if (this->data->accepting)
    {
        this->data->accepting->listen();
    }
}

void server::stop_listening()
{
    if (this->data->accepting)
    {
        this->data->accepting->accept_pending();
    }
    this->data->accepting.reset();
}

void server::state::accept(std::unique_ptr<net::stream_socket> socket)
{
    if (this->connections.size() >= this->chosen.connections)
    {
        return;
    }
    const auto connection = std::make_shared<detail::server_connection>(*this, std::move(socket));
    this->connections.insert(connection);
    connection->start();
}

void server::state::close_all()
{
    this->accepting.reset();
    const auto open = std::exchange(this->connections, {});
    for (const auto& connection : open)
    {
        connection->close(net::errc::connection_closed);
    }
}

server::builder& server::builder::listen_on(core::socket_address address)
{
    this->listen_address = std::move(address);
    return *this;
}

server::builder& server::builder::listen_later() noexcept
{
    this->mode = net::listen_mode::later;
    return *this;
}

server::builder& server::builder::on_request(request_hook hook)
{
    this->request = std::move(hook);
    return *this;
}

server::builder& server::builder::on_refusal(refusal_hook hook)
{
    this->refusal = std::move(hook);
    return *this;
}

server::builder& server::builder::overlap_if(overlap_hook hook)
{
    this->overlap = std::move(hook);
    return *this;
}

server::builder& server::builder::with_limits(const limits& values)
{
    this->chosen = values;
    return *this;
}

server server::builder::build(net::event_loop& loop)
{
    auto shared = std::make_shared<state>();
    shared->loop = &loop;
    shared->chosen = this->chosen;
    shared->request = this->request;
    shared->refusal = this->refusal;
    shared->overlap = this->overlap;
    auto* const target = shared.get();
    shared->accepting = std::make_unique<net::listener>(
        loop, this->listen_address,
        [target](std::unique_ptr<net::stream_socket> socket) { target->accept(std::move(socket)); }, this->mode);
    shared->bound = shared->accepting->address();
    return server{std::move(shared)};
}

} // namespace poplarport::http
