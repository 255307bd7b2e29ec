#include "poplarport/http/server.hpp"

#include <cstddef> // size_t
#include <utility> // exchange, move

#include "poplarport/http/detail/server_connection.hpp"
#include "poplarport/http/errors.hpp"
#include "poplarport/net/listener.hpp"

namespace poplarport::http
{

void respond(server_exchange& exchange, response_header header, std::string_view body)
{
    header.framing = body_framing::fixed;
    header.content_length = body.size();
    exchange.send_header(std::move(header));
    exchange.send_body(body);
    exchange.finish();
}

namespace
{

constexpr std::size_t part_bytes = 65536;

// Sends a response in parts; owned by the hooks of its exchange, which it owns until the response has ended.
struct part_sender
{
    std::shared_ptr<server_exchange> exchange;
    std::shared_ptr<const std::string> body;
    std::size_t offset{0};

    void send_parts()
    {
        while (this->exchange && this->offset < this->body->size() && this->exchange->pending_bytes() < part_bytes)
        {
            const auto part = std::string_view{*this->body}.substr(this->offset, part_bytes);
            this->offset += part.size();
            const auto current = this->exchange;
            current->send_body(part);
        }
        if (this->exchange && this->offset == this->body->size())
        {
            std::exchange(this->exchange, nullptr)->finish();
        }
    }
};

} // namespace

void respond(const std::shared_ptr<server_exchange>& exchange, response_header header,
             std::shared_ptr<const std::string> body)
{
    header.framing = body_framing::fixed;
    header.content_length = body->size();
    const auto sender = std::make_shared<part_sender>(part_sender{exchange, std::move(body)});
    exchange->set_hooks({.on_body = {},
                         .on_body_end = {},
                         .on_writable = [sender] { sender->send_parts(); },
                         .on_cancelled =
                             [sender](std::error_code)
                         {
                             sender->exchange = nullptr;
                         }});
    exchange->send_header(std::move(header));
    sender->send_parts();
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
    return this->data->bound_address;
}

std::size_t server::connection_count() const noexcept
{
    return this->data->connections.size();
}

void server::set_limits(const limits& new_limits)
{
    this->data->active_limits = new_limits;
}

void server::drain()
{
    this->data->draining = true;
}

void server::close_idle()
{
    const auto open_connections = this->data->connections;
    for (const auto& connection : open_connections)
    {
        connection->close_if_idle();
    }
}

void server::start_listening()
{
    if (this->data->listener)
    {
        this->data->listener->listen();
    }
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
    if (this->connections.size() >= this->active_limits.connections)
    {
        return;
    }
    const auto connection = std::make_shared<detail::server_connection>(*this, std::move(socket));
    this->connections.insert(connection);
    connection->start();
}

void server::state::close_all()
{
    this->listener.reset();
    const auto open_connections = std::exchange(this->connections, {});
    for (const auto& connection : open_connections)
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
    this->request_handler = std::move(hook);
    return *this;
}

server::builder& server::builder::on_refusal(refusal_hook hook)
{
    this->refusal_handler = std::move(hook);
    return *this;
}

server::builder& server::builder::overlap_if(overlap_hook hook)
{
    this->overlap_predicate = std::move(hook);
    return *this;
}

server::builder& server::builder::with_limits(const limits& server_limits)
{
    this->active_limits = server_limits;
    return *this;
}

server server::builder::build(net::event_loop& loop)
{
    auto shared = std::make_shared<state>();
    shared->loop = &loop;
    shared->active_limits = this->active_limits;
    shared->request_handler = this->request_handler;
    shared->refusal_handler = this->refusal_handler;
    shared->overlap_predicate = this->overlap_predicate;
    auto* const server_state = shared.get();
    shared->listener = std::make_unique<net::listener>(
        loop, this->listen_address,
        [server_state](std::unique_ptr<net::stream_socket> socket) { server_state->accept(std::move(socket)); },
        this->mode);
    shared->bound_address = shared->listener->address();
    return server{std::move(shared)};
}

} // namespace poplarport::http
