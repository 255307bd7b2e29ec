#include "poplarport/net/datagram_socket.hpp"

#include <array>        // array
#include <system_error> // system_error
#include <utility>      // move

#include <sys/socket.h>
#include <unistd.h>

#include "poplarport/net/detail/descriptor_watch.hpp"
#include "poplarport/net/detail/ip_address.hpp"
#include "poplarport/net/errors.hpp"

namespace poplarport::net
{

datagram_socket::datagram_socket(event_loop& loop, const core::socket_address& address, receive_hook on_receive)
    : hook(std::move(on_receive))
{
    const auto target = detail::to_kernel(address);
    if (!target)
    {
        throw std::system_error(errc::invalid_address, core::to_string(address));
    }
    const int new_descriptor = ::socket(target->storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (new_descriptor < 0 || ::bind(new_descriptor, target->get(), target->length) != 0)
    {
        if (new_descriptor >= 0)
        {
            ::close(new_descriptor);
        }
        throw std::system_error(errc::listen_failed, core::to_string(address));
    }
    this->bound_address = detail::local_address(new_descriptor);
    this->watch = std::make_unique<detail::descriptor_watch>(loop, new_descriptor, [this] { this->receive_all(); });
}

datagram_socket::~datagram_socket() = default;

bool datagram_socket::send(const core::socket_address& to, std::string_view datagram) const
{
    const auto target = detail::to_kernel(to);
    if (!target)
    {
        return false;
    }
    const auto count = ::sendto(this->watch->descriptor(), datagram.data(), datagram.size(), MSG_NOSIGNAL,
                                target->get(), target->length);
    return count == static_cast<ssize_t>(datagram.size());
}

const core::socket_address& datagram_socket::address() const noexcept
{
    return this->bound_address;
}

void datagram_socket::receive_all()
{
    constexpr int datagrams_per_event = 64;
    constexpr std::size_t max_datagram_bytes = 65536;
    static thread_local std::array<char, max_datagram_bytes> buffer;
    for (int count = 0; count < datagrams_per_event; ++count)
    {
        detail::kernel_address from;
        from.length = sizeof from.storage;
        const auto length =
            ::recvfrom(this->watch->descriptor(), buffer.data(), buffer.size(), 0, from.get(), &from.length);
        if (length < 0)
        {
            return;
        }
        this->hook(detail::from_kernel(from), std::string_view{buffer.data(), static_cast<std::size_t>(length)});
    }
}

} // namespace poplarport::net
