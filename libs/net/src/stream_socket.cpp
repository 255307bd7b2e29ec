#include "poplarport/net/stream_socket.hpp"

#include <string>  // string
#include <utility> // exchange, move

#include <libwebsockets.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "poplarport/net/detail/ip_address.hpp"
#include "poplarport/net/detail/protocols.hpp"
#include "poplarport/net/detail/stream_events.hpp"
#include "poplarport/net/errors.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::net
{

/// @brief State of a socket, kept alive while one of its hooks runs.
struct stream_socket::state : std::enable_shared_from_this<state>
{
    explicit state(event_loop& owning_loop) : loop(&owning_loop)
    {
    }

    void attach(int new_descriptor);
    void flush();
    void fail(std::error_code error);
    void release() noexcept;
    void handle_writable();

    event_loop* loop;
    lws* connection{nullptr};
    int descriptor{-1};
    bool connecting{false};
    bool closed{false};
    bool output_finished{false};
    std::string output{};
    std::size_t output_offset{0};
    std::size_t total_sent_bytes{0};
    std::shared_ptr<hooks> events{std::make_shared<hooks>()};
    std::unique_ptr<timer> connect_timer{};
};

void stream_socket::state::attach(int new_descriptor)
{
    this->descriptor = new_descriptor;
    const int enabled = 1;
    ::setsockopt(new_descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    lws_sock_file_fd_type handle{};
    handle.sockfd = new_descriptor;
    this->connection =
        lws_adopt_descriptor_vhost(this->loop->raw_vhost(), LWS_ADOPT_SOCKET, handle, detail::stream_protocol, nullptr);
    if (this->connection == nullptr)
    {
        // libwebsockets closes the descriptor of a socket that it cannot adopt.
        this->loop->post([self = this->shared_from_this()] { self->fail(errc::loop_setup_failed); });
        return;
    }
    lws_set_wsi_user(this->connection, this);
}

void stream_socket::state::flush()
{
    constexpr std::size_t compact_threshold_bytes = 65536;
    while (this->output_offset < this->output.size())
    {
        const auto count = ::send(this->descriptor, this->output.data() + this->output_offset,
                                  this->output.size() - this->output_offset, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count <= 0)
        {
            break;
        }
        this->output_offset += static_cast<std::size_t>(count);
        this->total_sent_bytes += static_cast<std::size_t>(count);
    }
    if (this->output_offset == this->output.size())
    {
        this->output.clear();
        this->output_offset = 0;
    }
    else if (this->output_offset > compact_threshold_bytes)
    {
        this->output.erase(0, this->output_offset);
        this->output_offset = 0;
    }
    if (!this->output.empty())
    {
        lws_callback_on_writable(this->connection);
    }
    else if (this->output_finished)
    {
        ::shutdown(this->descriptor, SHUT_WR);
    }
}

void stream_socket::state::fail(std::error_code error)
{
    if (this->closed)
    {
        return;
    }
    const auto self = this->shared_from_this();
    this->release();
    const auto current_hooks = this->events;
    if (current_hooks->on_closed)
    {
        current_hooks->on_closed(error);
    }
}

void stream_socket::state::release() noexcept
{
    this->closed = true;
    this->connect_timer.reset();
    if (this->connection != nullptr)
    {
        lws_set_wsi_user(this->connection, nullptr);
        ::shutdown(this->descriptor, SHUT_RDWR);
        lws_set_timeout(this->connection, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
        this->connection = nullptr;
    }
}

void stream_socket::state::handle_writable()
{
    const auto self = this->shared_from_this();
    if (this->connecting)
    {
        int error = 0;
        socklen_t length = sizeof error;
        ::getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error != 0)
        {
            this->fail(errc::connect_failed);
            return;
        }
        this->connecting = false;
        this->connect_timer.reset();
        const auto current_hooks = this->events;
        if (current_hooks->on_connected)
        {
            current_hooks->on_connected();
        }
    }
    if (this->closed)
    {
        return;
    }
    const bool had_output = !this->output.empty();
    this->flush();
    const auto current_hooks = this->events;
    if (had_output && this->output.empty() && current_hooks->on_drained)
    {
        current_hooks->on_drained();
    }
}

namespace
{

// After an orderly close by the remote side the TCP connection is half open; after a reset its state is TCP_CLOSE.
std::error_code close_reason(const stream_socket::state& socket)
{
    if (socket.connecting)
    {
        return errc::connect_failed;
    }
    tcp_info tcp_information{};
    socklen_t length = sizeof tcp_information;
    const bool has_information = ::getsockopt(socket.descriptor, IPPROTO_TCP, TCP_INFO, &tcp_information, &length) == 0;
    return has_information && tcp_information.tcpi_state == TCP_CLOSE ? errc::connection_reset
                                                                      : errc::connection_closed;
}

} // namespace

int detail::handle_stream_event(lws* connection, lws_callback_reasons reason, void* user, void* in, std::size_t length)
{
    auto* const target = static_cast<stream_socket::state*>(user);
    switch (reason)
    {
    case LWS_CALLBACK_RAW_RX:
    {
        if (target == nullptr)
        {
            return -1;
        }
        const auto guard = target->shared_from_this();
        const auto current_hooks = target->events;
        if (current_hooks->on_bytes)
        {
            current_hooks->on_bytes(std::string_view{static_cast<const char*>(in), length});
        }
        return 0;
    }
    case LWS_CALLBACK_RAW_WRITEABLE:
        if (target == nullptr)
        {
            return -1;
        }
        target->handle_writable();
        return 0;
    case LWS_CALLBACK_RAW_CLOSE:
        if (target != nullptr)
        {
            const auto guard = target->shared_from_this();
            lws_set_wsi_user(connection, nullptr);
            target->connection = nullptr;
            target->fail(close_reason(*target));
        }
        return 0;
    default:
        return 0;
    }
}

std::unique_ptr<stream_socket> stream_socket::connect(event_loop& loop, const core::socket_address& address,
                                                      core::duration timeout, hooks events)
{
    const auto shared = std::make_shared<state>(loop);
    shared->events = std::make_shared<hooks>(std::move(events));
    shared->connecting = true;
    const auto fail_later = [&loop, shared](errc reason)
    {
        loop.post([shared, reason] { shared->fail(reason); });
    };
    const auto target = detail::to_kernel(address);
    if (!target)
    {
        fail_later(errc::invalid_address);
        return std::unique_ptr<stream_socket>(new stream_socket(shared));
    }
    const int new_descriptor = ::socket(target->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (new_descriptor < 0 || (::connect(new_descriptor, target->get(), target->length) != 0 && errno != EINPROGRESS))
    {
        if (new_descriptor >= 0)
        {
            ::close(new_descriptor);
        }
        fail_later(errc::connect_failed);
        return std::unique_ptr<stream_socket>(new stream_socket(shared));
    }
    shared->attach(new_descriptor);
    if (shared->connection != nullptr)
    {
        lws_callback_on_writable(shared->connection);
        shared->connect_timer =
            std::make_unique<timer>(loop, [state = shared.get()] { state->fail(errc::connect_timed_out); });
        shared->connect_timer->schedule(timeout);
    }
    return std::unique_ptr<stream_socket>(new stream_socket(shared));
}

std::unique_ptr<stream_socket> stream_socket::adopt(event_loop& loop, int descriptor)
{
    const auto shared = std::make_shared<state>(loop);
    shared->attach(descriptor);
    return std::unique_ptr<stream_socket>(new stream_socket(shared));
}

stream_socket::stream_socket(std::shared_ptr<state> shared) : data(std::move(shared))
{
}

stream_socket::~stream_socket()
{
    this->close();
}

void stream_socket::set_hooks(hooks events)
{
    this->data->events = std::make_shared<hooks>(std::move(events));
}

void stream_socket::send(std::string_view bytes)
{
    if (this->data->closed || this->data->output_finished)
    {
        return;
    }
    this->data->output.append(bytes);
    if (!this->data->connecting && this->data->connection != nullptr)
    {
        this->data->flush();
    }
}

std::size_t stream_socket::pending_bytes() const noexcept
{
    return this->data->output.size() - this->data->output_offset;
}

std::size_t stream_socket::sent_bytes() const noexcept
{
    return this->data->total_sent_bytes;
}

bool stream_socket::is_open() const noexcept
{
    return !this->data->closed && !this->data->connecting;
}

bool stream_socket::has_unread_input() const noexcept
{
    if (this->data->closed)
    {
        return true;
    }
    char byte = 0;
    return ::recv(this->data->descriptor, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

bool stream_socket::has_remote_closed() const noexcept
{
    if (this->data->closed)
    {
        return true;
    }
    pollfd descriptor{this->data->descriptor, POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void stream_socket::set_reading(bool enabled)
{
    if (this->data->connection != nullptr)
    {
        lws_rx_flow_control(this->data->connection, enabled ? 1 : 0);
    }
}

void stream_socket::set_keep_alive(std::chrono::seconds interval, int probes)
{
    const auto set = [this](int level, int option, int value)
    {
        ::setsockopt(this->data->descriptor, level, option, &value, sizeof value);
    };
    if (this->data->connection == nullptr)
    {
        return;
    }
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(interval.count()));
    set(IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(interval.count()));
    set(IPPROTO_TCP, TCP_KEEPCNT, probes);
}

void stream_socket::finish_output()
{
    if (this->data->closed || this->data->output_finished)
    {
        return;
    }
    this->data->output_finished = true;
    if (!this->data->connecting && this->data->connection != nullptr)
    {
        this->data->flush();
    }
}

void stream_socket::close() noexcept
{
    this->data->release();
    this->data->events = std::make_shared<hooks>();
}

void stream_socket::reset() noexcept
{
    if (!this->data->closed)
    {
        // Connecting a TCP socket to AF_UNSPEC drops its connection and sends a reset.
        sockaddr unspecified{};
        unspecified.sa_family = AF_UNSPEC;
        [[maybe_unused]] const int result = ::connect(this->data->descriptor, &unspecified, sizeof unspecified);
    }
    this->close();
}

core::socket_address stream_socket::remote_address() const
{
    detail::kernel_address address;
    address.length = sizeof address.storage;
    if (this->data->closed || ::getpeername(this->data->descriptor, address.get(), &address.length) != 0)
    {
        return {};
    }
    return detail::from_kernel(address);
}

} // namespace poplarport::net
