#include "forwarder_link.hpp"

#include <algorithm> // max, min
#include <utility>   // exchange, move

#include "poplarport/net/errors.hpp"

namespace poplarport::standins
{

namespace
{

constexpr std::size_t max_buffered_bytes = std::size_t{256} * 1024;
constexpr std::chrono::seconds connect_timeout{5};

} // namespace

forwarder_pipe::forwarder_pipe(net::event_loop& shared_loop, std::function<void()> on_end)
    : loop(&shared_loop), end_hook(std::move(on_end)), timer(shared_loop, [this] { this->pump(); })
{
}

void forwarder_pipe::connect(net::stream_socket& source, net::stream_socket& destination)
{
    this->input_socket = &source;
    this->output_socket = &destination;
}

void forwarder_pipe::set_faults(const forwarder_faults& new_faults)
{
    this->faults = new_faults;
    this->next_send_time = this->loop->now();
    this->pump();
}

void forwarder_pipe::set_silent(bool enabled)
{
    this->silent = enabled;
    this->pump();
}

bool forwarder_pipe::is_silent() const noexcept
{
    return this->silent;
}

void forwarder_pipe::append(std::string_view bytes)
{
    this->pieces.push_back({this->loop->now() + this->faults.delay, std::string{bytes}});
    this->buffered_bytes += bytes.size();
    this->pump();
}

void forwarder_pipe::finish_input()
{
    this->input_finished = true;
    this->pump();
}

void forwarder_pipe::pump()
{
    const auto now = this->loop->now();
    while (!this->silent && !this->pieces.empty() && this->pieces.front().due <= now && this->next_send_time <= now)
    {
        this->send_piece(now);
    }
    this->update_reading();
    if (this->silent)
    {
        return;
    }
    if (!this->pieces.empty())
    {
        this->timer.schedule(std::max(this->pieces.front().due, this->next_send_time) - now);
    }
    else if (this->input_finished && this->end_hook)
    {
        // The hook may destroy this pipe.
        const auto hook = std::exchange(this->end_hook, {});
        hook();
    }
}

void forwarder_pipe::send_piece(core::time_point now)
{
    // A limited rate is split into pieces of a twentieth of a second.
    constexpr std::uint64_t pieces_per_second = 20;
    auto& first = this->pieces.front();
    std::size_t size = first.bytes.size();
    if (this->faults.bytes_per_second > 0)
    {
        const auto rate = this->faults.bytes_per_second;
        size = std::min<std::size_t>(size, std::max<std::uint64_t>(rate / pieces_per_second, 1));
        const std::chrono::duration<double> pause{static_cast<double>(size) / static_cast<double>(rate)};
        this->next_send_time = now + std::chrono::duration_cast<core::duration>(pause);
    }
    this->output_socket->send(std::string_view{first.bytes}.substr(0, size));
    this->sent_bytes += size;
    this->buffered_bytes -= size;
    first.bytes.erase(0, size);
    if (first.bytes.empty())
    {
        this->pieces.pop_front();
    }
}

void forwarder_pipe::update_reading()
{
    const bool has_capacity = this->buffered_bytes + this->output_socket->pending_bytes() < max_buffered_bytes;
    const bool should_read = !this->silent && has_capacity;
    if (should_read != this->reading_enabled)
    {
        this->reading_enabled = should_read;
        this->input_socket->set_reading(should_read);
    }
}

std::uint64_t forwarder_pipe::forwarded_bytes() const noexcept
{
    return this->sent_bytes;
}

forwarder_link::forwarder_link(net::event_loop& shared_loop, std::unique_ptr<net::stream_socket> caller_socket,
                               end_callback on_end)
    : loop(&shared_loop), caller_connection{std::move(caller_socket)}, end_hook(std::move(on_end)),
      to_target(shared_loop, [this] { this->forward_end(this->caller_connection, this->target_connection); }),
      to_caller(shared_loop, [this] { this->forward_end(this->target_connection, this->caller_connection); })
{
}

void forwarder_link::start(const core::socket_address& target, const forwarder_faults& faults)
{
    auto target_hooks = this->make_hooks(this->target_connection, this->to_caller, this->to_target);
    this->target_connection.socket =
        net::stream_socket::connect(*this->loop, target, connect_timeout, std::move(target_hooks));
    this->to_target.connect(*this->caller_connection.socket, *this->target_connection.socket);
    this->to_caller.connect(*this->target_connection.socket, *this->caller_connection.socket);
    this->caller_connection.socket->set_hooks(
        this->make_hooks(this->caller_connection, this->to_target, this->to_caller));
    this->set_faults(faults);
    this->silence(faults.new_connections);
}

net::stream_socket::hooks forwarder_link::make_hooks(connection& input, forwarder_pipe& output,
                                                     forwarder_pipe& opposite)
{
    const auto on_closed = [this, &input, &output](std::error_code reason)
    {
        const auto self = this->shared_from_this();
        input.closed = true;
        input.was_reset = reason != net::errc::connection_closed;
        output.finish_input();
        this->finish_if_closed();
    };
    return {.on_connected = {},
            .on_bytes = [&output](std::string_view bytes) { output.append(bytes); },
            .on_drained = [&opposite] { opposite.pump(); },
            .on_closed = on_closed};
}

void forwarder_link::set_faults(const forwarder_faults& new_faults)
{
    const auto self = this->shared_from_this();
    this->to_target.set_faults(new_faults);
    this->to_caller.set_faults(new_faults);
}

void forwarder_link::silence(forward_direction directions)
{
    const auto self = this->shared_from_this();
    const bool is_both = directions == forward_direction::both;
    this->to_target.set_silent(is_both || directions == forward_direction::to_target);
    this->to_caller.set_silent(is_both || directions == forward_direction::to_caller);
}

void forwarder_link::reset_connections()
{
    this->caller_connection.closed = true;
    this->target_connection.closed = true;
    this->caller_connection.socket->reset();
    this->target_connection.socket->reset();
    this->finish_if_closed();
}

bool forwarder_link::is_silent() const noexcept
{
    return this->to_target.is_silent() || this->to_caller.is_silent();
}

std::uint64_t forwarder_link::bytes_to_target() const noexcept
{
    return this->to_target.forwarded_bytes();
}

std::uint64_t forwarder_link::bytes_to_caller() const noexcept
{
    return this->to_caller.forwarded_bytes();
}

void forwarder_link::forward_end(const connection& source, connection& destination)
{
    if (destination.closed)
    {
        return;
    }
    if (source.was_reset)
    {
        destination.closed = true;
        destination.socket->reset();
        this->finish_if_closed();
        return;
    }
    destination.socket->finish_output();
}

void forwarder_link::finish_if_closed()
{
    if (this->caller_connection.closed && this->target_connection.closed && this->end_hook)
    {
        const auto self = this->shared_from_this();
        // Hooks of the sockets and pipes may be on the stack, so the link is destroyed by a later iteration.
        this->loop->post([self] {});
        const auto hook = std::exchange(this->end_hook, {});
        hook(self);
    }
}

} // namespace poplarport::standins
