#include "forwarder_link.hpp"

#include <algorithm> // max, min
#include <utility>   // exchange, move

#include "poplarport/net/errors.hpp"

namespace poplarport::standins
{

namespace
{

constexpr std::size_t most_waiting_bytes = std::size_t{256} * 1024;
constexpr std::chrono::seconds connect_timeout{5};

} // namespace

forwarder_pipe::forwarder_pipe(net::event_loop& owner, std::function<void()> on_end)
    : loop(&owner), end_hook(std::move(on_end)), timer(owner, [this] { this->pump(); })
{
}

void forwarder_pipe::connect(net::stream_socket& input, net::stream_socket& destination)
{
    this->from = &input;
    this->to = &destination;
}

void forwarder_pipe::set_faults(const forwarder_faults& values)
{
    this->faults = values;
    this->next_send = this->loop->now();
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

void forwarder_pipe::accept(std::string_view bytes)
{
    this->waiting.push_back({this->loop->now() + this->faults.delay, std::string{bytes}});
    this->waiting_bytes += bytes.size();
    this->pump();
}

void forwarder_pipe::finish()
{
    this->finished = true;
    this->pump();
}

void forwarder_pipe::pump()
{
    const auto now = this->loop->now();
    while (!this->silent && !this->waiting.empty() && this->waiting.front().due <= now && this->next_send <= now)
    {
        this->send_piece(now);
    }
    this->update_reading();
    if (this->silent)
    {
        return;
    }
    if (!this->waiting.empty())
    {
        this->timer.schedule(std::max(this->waiting.front().due, this->next_send) - now);
    }
    else if (this->finished && this->end_hook)
    {
        // The hook may destroy this pipe.
        const auto hook = std::exchange(this->end_hook, {});
        hook();
    }
}

void forwarder_pipe::send_piece(core::time_point now)
{
    // A limited rate is kept over pieces of a twentieth of a second.
    constexpr std::uint64_t pieces_per_second = 20;
    auto& first = this->waiting.front();
    std::size_t size = first.bytes.size();
    if (this->faults.bytes_per_second > 0)
    {
        const auto rate = this->faults.bytes_per_second;
        size = std::min<std::size_t>(size, std::max<std::uint64_t>(rate / pieces_per_second, 1));
        const std::chrono::duration<double> pause{static_cast<double>(size) / static_cast<double>(rate)};
        this->next_send = now + std::chrono::duration_cast<core::duration>(pause);
    }
    this->to->send(std::string_view{first.bytes}.substr(0, size));
    this->forwarded += size;
    this->waiting_bytes -= size;
    first.bytes.erase(0, size);
    if (first.bytes.empty())
    {
        this->waiting.pop_front();
    }
}

void forwarder_pipe::update_reading()
{
    const bool has_room = this->waiting_bytes + this->to->pending_bytes() < most_waiting_bytes;
    const bool wanted = !this->silent && has_room;
    if (wanted != this->reading)
    {
        this->reading = wanted;
        this->from->set_reading(wanted);
    }
}

std::uint64_t forwarder_pipe::forwarded_bytes() const noexcept
{
    return this->forwarded;
}

forwarder_link::forwarder_link(net::event_loop& owner, std::unique_ptr<net::stream_socket> accepted, done_hook on_done)
    : loop(&owner), caller{std::move(accepted)}, done(std::move(on_done)),
      to_target(owner, [this] { this->pass_on_end(this->caller, this->upstream); }),
      to_caller(owner, [this] { this->pass_on_end(this->upstream, this->caller); })
{
}

void forwarder_link::start(const core::socket_address& target, const forwarder_faults& faults)
{
    auto target_hooks = this->make_hooks(this->upstream, this->to_caller, this->to_target);
    this->upstream.socket = net::stream_socket::connect(*this->loop, target, connect_timeout, std::move(target_hooks));
    this->to_target.connect(*this->caller.socket, *this->upstream.socket);
    this->to_caller.connect(*this->upstream.socket, *this->caller.socket);
    this->caller.socket->set_hooks(this->make_hooks(this->caller, this->to_target, this->to_caller));
    this->set_faults(faults);
    this->silence(faults.new_connections);
}

net::stream_socket::hooks forwarder_link::make_hooks(side& input, forwarder_pipe& output, forwarder_pipe& opposite)
{
    const auto on_closed = [this, &input, &output](std::error_code reason)
    {
        const auto keep = this->shared_from_this();
        input.closed = true;
        input.was_reset = reason != net::errc::connection_closed;
        output.finish();
        this->end_if_done();
    };
    return {.on_connected = {},
            .on_bytes = [&output](std::string_view bytes) { output.accept(bytes); },
            .on_drained = [&opposite] { opposite.pump(); },
            .on_closed = on_closed};
}

void forwarder_link::set_faults(const forwarder_faults& values)
{
    const auto keep = this->shared_from_this();
    this->to_target.set_faults(values);
    this->to_caller.set_faults(values);
}

void forwarder_link::silence(forward_direction directions)
{
    const auto keep = this->shared_from_this();
    const bool is_both = directions == forward_direction::both;
    this->to_target.set_silent(is_both || directions == forward_direction::to_target);
    this->to_caller.set_silent(is_both || directions == forward_direction::to_caller);
}

void forwarder_link::cut()
{
    this->caller.closed = true;
    this->upstream.closed = true;
    this->caller.socket->reset();
    this->upstream.socket->reset();
    this->end_if_done();
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

void forwarder_link::pass_on_end(const side& ended, side& other)
{
    if (other.closed)
    {
        return;
    }
    if (ended.was_reset)
    {
        other.closed = true;
        other.socket->reset();
        this->end_if_done();
        return;
    }
    other.socket->finish_output();
}

void forwarder_link::end_if_done()
{
    if (this->caller.closed && this->upstream.closed && this->done)
    {
        const auto self = this->shared_from_this();
        // Hooks of the sockets and pipes may be on the stack, so that they are destroyed later.
        this->loop->post([self] {});
        const auto hook = std::exchange(this->done, {});
        hook(self);
    }
}

} // namespace poplarport::standins
