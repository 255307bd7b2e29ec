#include "poplarport/net/listener.hpp"

#include <system_error> // system_error
#include <utility>      // move

#include <sys/socket.h>
#include <unistd.h>

#include "poplarport/net/detail/descriptor_watch.hpp"
#include "poplarport/net/detail/ip_address.hpp"
#include "poplarport/net/errors.hpp"

namespace poplarport::net
{

namespace
{

constexpr int backlog_connections = 1024;

int open_bound_descriptor(const core::socket_address& address)
{
    const auto target = detail::to_kernel(address);
    if (!target)
    {
        throw std::system_error(errc::invalid_address, core::to_string(address));
    }
    const int new_descriptor = ::socket(target->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    // A replacement node must be able to listen while connections of its predecessor are in TIME_WAIT.
    ::setsockopt(new_descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (new_descriptor < 0 || ::bind(new_descriptor, target->get(), target->length) != 0)
    {
        if (new_descriptor >= 0)
        {
            ::close(new_descriptor);
        }
        throw std::system_error(errc::listen_failed, core::to_string(address));
    }
    return new_descriptor;
}

} // namespace

listener::listener(event_loop& owning_loop, const core::socket_address& address, accept_hook on_accept,
                   listen_mode mode)
    : loop(&owning_loop), hook(std::move(on_accept)), descriptor(open_bound_descriptor(address))
{
    this->bound_address = detail::local_address(this->descriptor);
    if (mode == listen_mode::at_once)
    {
        this->listen();
    }
}

listener::~listener()
{
    if (this->watch)
    {
        this->shut_down();
    }
    else if (!this->is_stopped)
    {
        ::close(this->descriptor);
    }
}

void listener::listen()
{
    if (this->watch)
    {
        return;
    }
    // Polling a socket that is not listening reports an error at once, so the watch is created after listen().
    if (::listen(this->descriptor, backlog_connections) != 0)
    {
        throw std::system_error(errc::listen_failed, core::to_string(this->bound_address));
    }
    this->watch =
        std::make_unique<detail::descriptor_watch>(*this->loop, this->descriptor, [this] { this->accept_all(); });
}

const core::socket_address& listener::address() const noexcept
{
    return this->bound_address;
}

void listener::stop()
{
    if (!this->watch)
    {
        return;
    }
    this->accept_up_to(backlog_connections);
    if (this->watch)
    {
        this->shut_down();
    }
    this->is_stopped = true;
}

void listener::shut_down()
{
    // The event loop closes the descriptor in a later iteration; until then, the kernel would establish connections.
    ::shutdown(this->watch->descriptor(), SHUT_RDWR);
    this->watch.reset();
}

void listener::accept_all()
{
    // Limits the connections accepted per event, so that a burst does not delay the established connections.
    constexpr int accepts_per_event = 64;
    this->accept_up_to(accepts_per_event);
}

void listener::accept_up_to(int limit)
{
    for (int count = 0; count < limit; ++count)
    {
        const int accepted_descriptor =
            ::accept4(this->watch->descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted_descriptor < 0)
        {
            return;
        }
        this->hook(stream_socket::adopt(*this->loop, accepted_descriptor));
        if (!this->watch)
        {
            return;
        }
    }
}

} // namespace poplarport::net
