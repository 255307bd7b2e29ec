#include "raw_http.hpp"

#include <array>        // array
#include <cerrno>       // errno
#include <system_error> // generic_category, system_error
#include <utility>      // exchange, move

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace poplarport::test
{

namespace
{

// Interval at which the accepting thread checks whether the test has ended.
constexpr int poll_step_ms = 50;

int check_result(int result, const char* call)
{
    if (result < 0)
    {
        throw std::system_error(errno, std::generic_category(), call);
    }
    return result;
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace

raw_socket::raw_socket(const std::string& address, int receive_buffer)
    : descriptor(check_result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), "socket"))
{
    if (receive_buffer > 0)
    {
        check_result(::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer),
                     "setsockopt");
    }
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    const auto target = loopback(port);
    check_result(::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target), "connect");
}

raw_socket::raw_socket(int connected) : descriptor(connected)
{
}

raw_socket::~raw_socket()
{
    if (this->descriptor >= 0)
    {
        ::close(this->descriptor);
    }
}

raw_socket::raw_socket(raw_socket&& other) noexcept : descriptor(std::exchange(other.descriptor, -1))
{
}

bool raw_socket::send(std::string_view bytes) const
{
    while (!bytes.empty())
    {
        const auto sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::string raw_socket::receive(std::chrono::milliseconds limit) const
{
    pollfd poll_entry{.fd = this->descriptor, .events = POLLIN, .revents = 0};
    if (::poll(&poll_entry, 1, static_cast<int>(limit.count())) <= 0)
    {
        return {};
    }
    std::array<char, 65536> buffer{};
    const auto received = ::recv(this->descriptor, buffer.data(), buffer.size(), 0);
    return received > 0 ? std::string{buffer.data(), static_cast<std::size_t>(received)} : std::string{};
}

std::string raw_socket::receive_until(std::string_view text, std::chrono::milliseconds limit) const
{
    std::string result;
    while (result.find(text) == std::string::npos)
    {
        const auto bytes = this->receive(limit);
        if (bytes.empty())
        {
            break;
        }
        result += bytes;
    }
    return result;
}

std::string raw_socket::receive_all(std::chrono::milliseconds limit) const
{
    std::string result;
    for (auto bytes = this->receive(limit); !bytes.empty(); bytes = this->receive(limit))
    {
        result += bytes;
    }
    return result;
}

raw_upstream::raw_upstream(handler on_connection)
    : connection_handler(std::move(on_connection)),
      listening_descriptor(check_result(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), "socket"))
{
    auto address = loopback(0);
    socklen_t size = sizeof address;
    check_result(::bind(this->listening_descriptor, reinterpret_cast<const sockaddr*>(&address), size), "bind");
    check_result(::listen(this->listening_descriptor, SOMAXCONN), "listen");
    check_result(::getsockname(this->listening_descriptor, reinterpret_cast<sockaddr*>(&address), &size),
                 "getsockname");
    this->port = ntohs(address.sin_port);
    this->acceptor = std::jthread{[this]
                                  {
                                      this->accept();
                                  }};
}

raw_upstream::~raw_upstream()
{
    this->stopping = true;
    this->acceptor.join();
    this->connections.clear();
    ::close(this->listening_descriptor);
}

std::string raw_upstream::address() const
{
    return "127.0.0.1:" + std::to_string(this->port);
}

void raw_upstream::accept()
{
    while (!this->stopping)
    {
        pollfd poll_entry{.fd = this->listening_descriptor, .events = POLLIN, .revents = 0};
        if (::poll(&poll_entry, 1, poll_step_ms) <= 0)
        {
            continue;
        }
        const int descriptor = ::accept4(this->listening_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0)
        {
            this->connections.emplace_back([this, connection = raw_socket{descriptor}]() mutable
                                           { this->connection_handler(connection); });
        }
    }
}

} // namespace poplarport::test
