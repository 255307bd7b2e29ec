#include "poplarport/control/server.hpp"

#include <algorithm> // ranges::any_of
#include <chrono>    // milliseconds
#include <exception> // exception
#include <map>       // map
#include <set>       // set
#include <utility>   // exchange, move

#include <libwebsockets.h>
#include <sys/socket.h>
#include <unistd.h>

#include "detail/close_connection.hpp"
#include "detail/server_exchange.hpp"
#include "poplarport/control/errors.hpp"
#include "poplarport/net/detail/descriptor_watch.hpp"
#include "poplarport/net/detail/ip_address.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::control
{

struct server::state
{
    net::event_loop* loop{nullptr};
    lws_vhost* vhost{nullptr};
    std::vector<control::route> routes{};
    std::set<lws*> connections{};
    std::map<lws*, std::shared_ptr<detail::server_exchange>> exchanges{}; ///< one per connection with a request
    std::unique_ptr<net::detail::descriptor_watch> acceptor{};
    std::unique_ptr<net::timer> disconnect_check{};

    /// @brief Closes the connections of callers that disconnected while their response is pending.
    void close_disconnected() const;

    /// @brief Accepts pending connections and passes them to libwebsockets.
    void accept_pending();
};

namespace
{

constexpr const char* vhost_name = "control-server";
constexpr const char* protocol_name = "poplarport-control-server";
constexpr int listen_backlog = 256;

// Limits how long a pending response is kept for a caller that has disconnected.
constexpr std::chrono::milliseconds disconnect_check_interval{250};

// Maximum size of a request header section; the header fields of the object API need less than 1 KB.
constexpr unsigned short header_limit_bytes = 8192;

constexpr std::array<std::pair<lws_token_indexes, std::string_view>, 4> captured_tokens{{
    {WSI_TOKEN_HTTP_IF_MATCH, captured_headers[0]},
    {WSI_TOKEN_HTTP_IF_NONE_MATCH, captured_headers[1]},
    {WSI_TOKEN_HTTP_CONTENT_TYPE, captured_headers[2]},
    {WSI_TOKEN_HTTP_AUTHORIZATION, captured_headers[3]},
}};

std::string method_name(int index)
{
    switch (index)
    {
    case LWSHUMETH_GET:
        return "GET";
    case LWSHUMETH_POST:
        return "POST";
    case LWSHUMETH_PUT:
        return "PUT";
    case LWSHUMETH_PATCH:
        return "PATCH";
    case LWSHUMETH_DELETE:
        return "DELETE";
    case LWSHUMETH_HEAD:
        return "HEAD";
    default:
        return "OTHER";
    }
}

std::string header_value(lws* connection, lws_token_indexes token)
{
    const int length = lws_hdr_total_length(connection, token);
    if (length <= 0)
    {
        return {};
    }
    std::string value(static_cast<std::size_t>(length) + 1, '\0');
    lws_hdr_copy(connection, value.data(), static_cast<int>(value.size()), token);
    value.resize(static_cast<std::size_t>(length));
    return value;
}

std::vector<query_parameter> read_query(lws* connection)
{
    std::vector<query_parameter> query;
    std::array<char, header_limit_bytes> buffer{};
    for (int index = 0;; ++index)
    {
        const int length = lws_hdr_copy_fragment(connection, buffer.data(), static_cast<int>(buffer.size()),
                                                 WSI_TOKEN_HTTP_URI_ARGS, index);
        if (length <= 0)
        {
            return query;
        }
        const std::string_view text{buffer.data(), static_cast<std::size_t>(length)};
        const auto equals = text.find('=');
        const auto value = equals == std::string_view::npos ? std::string_view{} : text.substr(equals + 1);
        query.push_back({std::string{text.substr(0, equals)}, std::string{value}});
    }
}

request read_request(lws* connection, std::string_view path)
{
    request message;
    char* target = nullptr;
    int length = 0;
    message.method = method_name(lws_http_get_uri_and_method(connection, &target, &length));
    message.path = path;
    message.query = read_query(connection);
    for (const auto& [token, name] : captured_tokens)
    {
        std::string value = header_value(connection, token);
        if (!value.empty())
        {
            message.headers.push_back({std::string{name}, std::move(value)});
        }
    }
    return message;
}

bool matches(const route& candidate, std::string_view path) noexcept
{
    return path == candidate.path || (candidate.path.ends_with('/') && path.starts_with(candidate.path));
}

response error_response(unsigned status, errc code)
{
    return {status, text_type, make_error_code(code).message() + "\n"};
}

/// @brief Passes a complete request to the route with the longest matching path.
void dispatch(const std::vector<route>& routes, const std::shared_ptr<detail::server_exchange>& exchange)
{
    const request& message = exchange->message;
    const std::string method = message.method == "HEAD" ? "GET" : message.method;
    const route* best_match = nullptr;
    for (const route& candidate : routes)
    {
        const bool is_match = candidate.method == method && matches(candidate, message.path);
        if (is_match && (best_match == nullptr || candidate.path.size() > best_match->path.size()))
        {
            best_match = &candidate;
        }
    }
    const responder request_responder{exchange};
    if (best_match != nullptr)
    {
        try
        {
            best_match->handle(message, request_responder);
        }
        catch (const std::exception&)
        {
            // An exception must not propagate through libwebsockets, which is written in C.
            request_responder.send(error_response(status::internal_error, errc::no_answer));
        }
        return;
    }
    const bool is_known_path =
        std::ranges::any_of(routes, [&message](const route& candidate) { return matches(candidate, message.path); });
    request_responder.send(is_known_path ? error_response(status::method_not_allowed, errc::method_not_allowed)
                                         : error_response(status::not_found, errc::path_not_found));
}

/// @brief Handles a request whose body is complete.
void handle(const server::state& data, lws* connection, const std::shared_ptr<detail::server_exchange>& exchange)
{
    // A long-poll response may take longer than the timeouts of libwebsockets.
    lws_set_timeout(connection, NO_PENDING_TIMEOUT, 0);
    dispatch(data.routes, exchange);
    if (exchange->is_open())
    {
        // libwebsockets does not read while a response is pending, so the end of the input would wake the loop
        // continuously.
        lws_rx_flow_control(connection, 0);
        if (!data.disconnect_check->is_scheduled())
        {
            data.disconnect_check->schedule(disconnect_check_interval);
        }
    }
}

/// @brief Starts a request. A request without a body is handled immediately.
int start_request(const server::state& data, lws* connection, const std::shared_ptr<detail::server_exchange>& exchange)
{
    if (lws_hdr_total_length(connection, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0)
    {
        exchange->close_after_response();
        exchange->set_response(error_response(status::length_required, errc::length_missing));
        return 0;
    }
    const std::string& method = exchange->message.method;
    const bool may_have_body = method == "PUT" || method == "POST" || method == "PATCH";
    const std::string length = header_value(connection, WSI_TOKEN_HTTP_CONTENT_LENGTH);
    if (may_have_body && !length.empty() && length != "0")
    {
        return 0;
    }
    if (may_have_body && length.empty())
    {
        // Without a content length HTTP defines no body, but libwebsockets would wait for one.
        exchange->close_after_response();
    }
    handle(data, connection, exchange);
    return 0;
}

int append_body(const std::shared_ptr<detail::server_exchange>& exchange, std::string_view bytes)
{
    if (exchange->is_body_too_large)
    {
        return 0;
    }
    if (exchange->message.body.size() + bytes.size() > max_body_bytes)
    {
        exchange->is_body_too_large = true;
        exchange->close_after_response();
        exchange->set_response(error_response(status::content_too_large, errc::body_too_large));
        return 0;
    }
    exchange->message.body.append(bytes);
    return 0;
}

void end_exchange(server::state& data, lws* connection)
{
    const auto found = data.exchanges.find(connection);
    if (found != data.exchanges.end())
    {
        const auto exchange = found->second;
        data.exchanges.erase(found);
        exchange->detach();
    }
}

int handle_request_event(server::state& data, lws* connection, lws_callback_reasons reason, void* in, size_t length)
{
    if (reason == LWS_CALLBACK_HTTP)
    {
        end_exchange(data, connection);
        const auto exchange = std::make_shared<detail::server_exchange>(connection);
        exchange->message = read_request(connection, {static_cast<const char*>(in), length});
        data.exchanges[connection] = exchange;
        return start_request(data, connection, exchange);
    }
    const auto found = data.exchanges.find(connection);
    if (found == data.exchanges.end())
    {
        return 0;
    }
    const std::shared_ptr<detail::server_exchange> exchange = found->second;
    switch (reason)
    {
    case LWS_CALLBACK_HTTP_BODY:
        return append_body(exchange, {static_cast<const char*>(in), length});
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
        if (exchange->is_open())
        {
            handle(data, connection, exchange);
        }
        return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
        return exchange->write();
    default:
        return 0;
    }
}

int handle_server_event(lws* connection, lws_callback_reasons reason, void* /*user*/, void* in, size_t length)
{
    auto* const data = static_cast<server::state*>(lws_get_opaque_user_data(connection));
    if (data == nullptr)
    {
        return 0;
    }
    switch (reason)
    {
    case LWS_CALLBACK_WSI_DESTROY:
        end_exchange(*data, connection);
        data->connections.erase(connection);
        return 0;
    case LWS_CALLBACK_CLOSED_HTTP:
        end_exchange(*data, connection);
        return 0;
    default:
        return handle_request_event(*data, connection, reason, in, length);
    }
}

const std::array<lws_protocols, 2> server_protocols{{
    {protocol_name, handle_server_event, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

/// @brief Returns the virtual host that all servers of a loop share; it exists as long as the loop.
///
/// The listening sockets are not managed by libwebsockets: lws_vhost_destroy of version 4.1.6 does not close them.
lws_vhost* shared_vhost(lws_context* context)
{
    lws_vhost* const existing = lws_get_vhost_by_name(context, vhost_name);
    if (existing != nullptr)
    {
        return existing;
    }
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.vhost_name = vhost_name;
    info.protocols = server_protocols.data();
    info.max_http_header_data = header_limit_bytes;
    return lws_create_vhost(context, &info);
}

/// @brief Opens a listening socket.
/// @return the descriptor, or -1 on error
int open_listening_descriptor(const core::socket_address& address)
{
    const auto target = net::detail::to_kernel(address);
    if (!target.has_value())
    {
        return -1;
    }
    const int descriptor = ::socket(target->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enable = 1;
    // A restarted process must be able to listen while connections of its predecessor are in TIME_WAIT.
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
    if (descriptor >= 0 &&
        (::bind(descriptor, target->get(), target->length) != 0 || ::listen(descriptor, listen_backlog) != 0))
    {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

} // namespace

void server::state::accept_pending()
{
    for (;;)
    {
        const int accepted = ::accept4(this->acceptor->descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted < 0)
        {
            return;
        }
        // libwebsockets closes the descriptor on failure.
        lws* const connection = lws_adopt_socket_vhost(this->vhost, accepted);
        if (connection != nullptr)
        {
            lws_set_opaque_user_data(connection, this);
            this->connections.insert(connection);
        }
    }
}

void server::state::close_disconnected() const
{
    for (const auto& [connection, exchange] : this->exchanges)
    {
        char byte = 0;
        if (exchange->is_open() && ::recv(lws_get_socket_fd(connection), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
        {
            detail::close_connection(connection);
        }
    }
    if (!this->exchanges.empty())
    {
        this->disconnect_check->schedule(disconnect_check_interval);
    }
}

server::server(std::unique_ptr<state> built) noexcept : data(std::move(built))
{
}

server::~server()
{
    // After the shutdown the socket refuses connections immediately; the loop closes its descriptor later.
    ::shutdown(this->data->acceptor->descriptor(), SHUT_RDWR);
    this->data->acceptor.reset();
    for (lws* const connection : this->data->connections)
    {
        lws_set_opaque_user_data(connection, nullptr);
        detail::close_connection(connection);
    }
    const auto exchanges = std::exchange(this->data->exchanges, {});
    for (const auto& [connection, exchange] : exchanges)
    {
        exchange->detach();
    }
}

const core::socket_address& server::address() const noexcept
{
    return this->bound_address;
}

std::size_t server::connections() const noexcept
{
    return this->data->connections.size();
}

server::builder::builder(net::event_loop& shared) noexcept : loop(&shared)
{
}

server::builder& server::builder::listen(core::socket_address listen_address)
{
    this->address = std::move(listen_address);
    return *this;
}

server::builder& server::builder::route(std::string method, std::string path, handler handle)
{
    this->routes.push_back({std::move(method), std::move(path), std::move(handle)});
    return *this;
}

std::unique_ptr<server> server::builder::build()
{
    auto built = std::make_unique<state>();
    built->loop = this->loop;
    built->routes = std::move(this->routes);
    built->vhost = shared_vhost(this->loop->context());
    const int descriptor = built->vhost == nullptr ? -1 : open_listening_descriptor(this->address);
    if (descriptor < 0)
    {
        throw std::system_error(errc::listen_failed, core::to_string(this->address));
    }
    built->disconnect_check =
        std::make_unique<net::timer>(*this->loop, [built_state = built.get()] { built_state->close_disconnected(); });
    built->acceptor = std::make_unique<net::detail::descriptor_watch>(
        *this->loop, descriptor, [built_state = built.get()] { built_state->accept_pending(); });
    std::unique_ptr<server> listening{new server{std::move(built)}};
    listening->bound_address = net::detail::local_address(descriptor);
    return listening;
}

} // namespace poplarport::control
