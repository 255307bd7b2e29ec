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

constexpr int backlog = 1024;

int open_bound_descriptor(const core::socket_address& address)
{
    const auto target = detail::to_kernel(address);
    if (!target)
    {
        throw std::system_error(errc::invalid_address, core::to_string(address));
    }
    const int opened = ::socket(target->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    // A node that is replaced must be able to listen while old connections wait in TIME_WAIT.
    ::setsockopt(opened, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (opened < 0 || ::bind(opened, target->get(), target->length) != 0)
    {
        if (opened >= 0)
        {
            ::close(opened);
        }
        throw std::system_error(errc::listen_failed, core::to_string(address));
    }
    return opened;
}

} // namespace

listener::listener(event_loop& owner, const core::socket_address& address, accept_hook on_accept, listen_mode mode)
    : loop(&owner), hook(std::move(on_accept)), descriptor(open_bound_descriptor(address))
{
    this->bound = detail::local_address(this->descriptor);
    if (mode == listen_mode::at_once)
    {
        this->listen();
    }
}

listener::~listener()
{
    if (!this->watch)
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
    // A watch on a socket that does not listen would report an error at once, so it begins here.
    if (::listen(this->descriptor, backlog) != 0)
    {
        throw std::system_error(errc::listen_failed, core::to_string(this->bound));
    }
    this->watch =
        std::make_unique<detail::descriptor_watch>(*this->loop, this->descriptor, [this] { this->accept_all(); });
}

const core::socket_address& listener::address() const noexcept
{
    return this->bound;
}

void listener::accept_pending()
{
    if (this->watch)
    {
        this->accept_up_to(backlog);
    }
}

void listener::accept_all()
{
    // Accepting is bounded per event, so that a burst of connections does not delay the established ones.
    constexpr int accepts_per_event = 64;
    this->accept_up_to(accepts_per_event);
}

void listener::accept_up_to(int limit)
{
    for (int count = 0; count < limit; ++count)
    {
        const int accepted = ::accept4(this->watch->descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0)
        {
            return;
        }
        this->hook(stream_socket::adopt(*this->loop, accepted));
        if (!this->watch)
        {
            return;
        }
    }
}

} // namespace poplarport::net
