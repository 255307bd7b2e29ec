#include "poplarport/control/client.hpp"

#include <algorithm> // min, ranges::all_of
#include <array>     // array
#include <cstdlib>   // strtoull
#include <cstring>   // memcpy
#include <memory>    // make_shared, make_unique, shared_ptr, weak_ptr
#include <set>       // set
#include <string>    // string, to_string
#include <utility>   // exchange, move
#include <vector>    // vector

#include <libwebsockets.h>

#include "detail/close_connection.hpp"
#include "poplarport/control/errors.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::control
{
namespace
{

constexpr const char* vhost_name = "control-client";
constexpr const char* protocol_name = "poplarport-control-client";

constexpr std::size_t chunk_bytes = 16384;

// A silent connection is detected after two seconds, the time within which a new configuration must be active.
constexpr int keep_alive_interval_seconds = 1;
constexpr int keep_alive_probes = 1;

bool is_printable(std::string_view text) noexcept
{
    return std::ranges::all_of(text, [](char letter) { return letter >= ' ' && letter <= '~'; });
}

bool is_valid(const request& message) noexcept
{
    const auto is_valid_method =
        std::ranges::all_of(message.method, [](char letter) { return letter >= 'A' && letter <= 'Z'; });
    const auto is_valid_target = message.path.starts_with('/') && message.path.find(' ') == std::string::npos &&
                                 message.path.find('#') == std::string::npos && is_printable(message.path);
    const auto are_valid_fields =
        std::ranges::all_of(message.headers, [](const header_field& field)
                            { return !field.name.empty() && is_printable(field.name) && is_printable(field.value); });
    return is_valid_method && !message.method.empty() && is_valid_target && are_valid_fields &&
           message.body.size() <= max_body_bytes;
}

} // namespace

namespace detail
{

/// @brief One request on its connection; freed when libwebsockets destroys the connection.
class client_exchange
{
  public:
    client_exchange(client::state& client_state, net::event_loop& loop, request new_message, client::reply_hook hook)
        : owner(&client_state), message(std::move(new_message)), on_reply(std::move(hook)),
          timeout_timer(std::make_unique<net::timer>(loop, [this] { this->expire(); }))
    {
    }

    client::state* owner;
    request message;
    client::reply_hook on_reply;
    std::unique_ptr<net::timer> timeout_timer;
    std::shared_ptr<client_exchange> self_reference{}; ///< owns this object until libwebsockets destroys the connection
    lws* connection{nullptr};
    control::response response{};
    std::size_t body_sent{0};
    std::size_t expected_body_bytes{0}; ///< content length of the response
    bool may_have_been_sent{false};     ///< whether the server may have received the request
    bool is_finished{false};

    /// @brief Ends the request at the end of the response body.
    void complete();

    /// @brief Ends the request with an error.
    void fail(std::error_code error);

    /// @brief Ends the request because its timeout has expired.
    void expire();

    /// @brief Ends the request without calling its hook.
    void cancel();

    /// @brief Adds the header fields to the request that libwebsockets is writing.
    int add_headers(unsigned char** position, const unsigned char* end);

    /// @brief Writes the next chunk of the request body.
    int write_body();

    /// @brief Reads the status, the content length and the content type.
    int read_response_header();

    /// @brief Reads available bytes of the response body; libwebsockets delivers each chunk in a separate event.
    int read_body() const;

    /// @brief Appends bytes to the response body.
    int append_body(std::string_view bytes);

  private:
    void succeed();
    void finish(reply result);
    void clear_libwebsockets_timeout();
    void close();
};

} // namespace detail

struct client::state
{
    explicit state(net::event_loop& shared) noexcept : loop(&shared)
    {
    }

    net::event_loop* loop;
    lws_vhost* vhost{nullptr};
    std::set<detail::client_exchange*> active{};
    std::weak_ptr<state> weak_self{}; ///< expired for posted hooks once the client is destroyed
};

namespace detail
{

void client_exchange::finish(reply result)
{
    if (std::exchange(this->is_finished, true))
    {
        return;
    }
    this->timeout_timer->cancel();
    if (this->owner == nullptr)
    {
        return;
    }
    this->owner->active.erase(this);
    // The hook runs from the loop, so that it may destroy the client; it does not run after the client is destroyed.
    const std::weak_ptr<client::state> client_alive = this->owner->weak_self;
    this->owner->loop->post(
        [client_alive, hook = std::move(this->on_reply), result = std::move(result)]
        {
            if (!client_alive.expired())
            {
                hook(result);
            }
        });
}

void client_exchange::succeed()
{
    this->finish({std::move(this->response), {}, false});
}

void client_exchange::complete()
{
    if (this->response.body.size() != this->expected_body_bytes)
    {
        this->fail(errc::answer_incomplete);
        return;
    }
    this->succeed();
}

void client_exchange::fail(std::error_code error)
{
    this->finish({std::nullopt, error, this->may_have_been_sent});
}

void client_exchange::expire()
{
    this->fail(errc::timed_out);
    this->close();
}

void client_exchange::cancel()
{
    this->owner = nullptr;
    this->finish({});
    this->timeout_timer.reset();
    this->close();
}

void client_exchange::close()
{
    if (this->connection != nullptr)
    {
        detail::close_connection(this->connection);
    }
}

// Requests are ended by the timer of the exchange. After writing a request libwebsockets sets a timeout of a few
// seconds, which would end a watch.
void client_exchange::clear_libwebsockets_timeout()
{
    if (this->owner == nullptr)
    {
        return;
    }
    this->owner->loop->post(
        [weak_exchange = std::weak_ptr<client_exchange>{this->self_reference}]
        {
            const auto exchange = weak_exchange.lock();
            if (exchange != nullptr && exchange->connection != nullptr && !exchange->is_finished)
            {
                lws_set_timeout(exchange->connection, NO_PENDING_TIMEOUT, 0);
            }
        });
}

int client_exchange::add_headers(unsigned char** position, const unsigned char* end)
{
    this->may_have_been_sent = true;
    this->clear_libwebsockets_timeout();
    auto* const end_position = const_cast<unsigned char*>(end);
    const auto add = [this, position, end_position](const std::string& name, const std::string& value)
    {
        const std::string name_with_colon = name + ":";
        return lws_add_http_header_by_name(this->connection,
                                           reinterpret_cast<const unsigned char*>(name_with_colon.c_str()),
                                           reinterpret_cast<const unsigned char*>(value.data()),
                                           static_cast<int>(value.size()), position, end_position);
    };
    for (const header_field& field : this->message.headers)
    {
        if (add(field.name, field.value) != 0)
        {
            return -1;
        }
    }
    if (this->message.body.empty() && this->message.method == "GET")
    {
        return 0;
    }
    if (add("content-length", std::to_string(this->message.body.size())) != 0)
    {
        return -1;
    }
    if (!this->message.body.empty())
    {
        lws_client_http_body_pending(this->connection, 1);
        lws_callback_on_writable(this->connection);
    }
    return 0;
}

int client_exchange::write_body()
{
    const std::size_t size = std::min(chunk_bytes, this->message.body.size() - this->body_sent);
    if (size == 0)
    {
        return 0;
    }
    std::array<unsigned char, LWS_PRE + chunk_bytes> buffer{};
    std::memcpy(buffer.data() + LWS_PRE, this->message.body.data() + this->body_sent, size);
    this->body_sent += size;
    const bool is_last = this->body_sent == this->message.body.size();
    if (is_last)
    {
        lws_client_http_body_pending(this->connection, 0);
        this->clear_libwebsockets_timeout();
    }
    const auto kind = is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
    if (lws_write(this->connection, buffer.data() + LWS_PRE, size, kind) < 0)
    {
        return -1;
    }
    if (!is_last)
    {
        lws_callback_on_writable(this->connection);
    }
    return 0;
}

int client_exchange::read_response_header()
{
    this->response.status = lws_http_client_http_response(this->connection);
    std::array<char, 24> length{};
    const bool has_length =
        lws_hdr_copy(this->connection, length.data(), length.size(), WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0;
    const bool has_no_body = this->response.status == status::no_content || this->message.method == "HEAD";
    if (has_no_body)
    {
        this->succeed();
        return -1;
    }
    // libwebsockets reports a chunked body as complete if the connection closes within it.
    if (!has_length)
    {
        this->fail(errc::length_missing);
        return -1;
    }
    this->expected_body_bytes = std::strtoull(length.data(), nullptr, 10);
    std::array<char, 128> type{};
    if (lws_hdr_copy(this->connection, type.data(), type.size(), WSI_TOKEN_HTTP_CONTENT_TYPE) > 0)
    {
        this->response.content_type = type.data();
    }
    return 0;
}

int client_exchange::read_body() const
{
    std::array<char, LWS_PRE + chunk_bytes> buffer{};
    char* start = buffer.data() + LWS_PRE;
    int size = chunk_bytes;
    return lws_http_client_read(this->connection, &start, &size) < 0 ? -1 : 0;
}

int client_exchange::append_body(std::string_view bytes)
{
    if (this->response.body.size() + bytes.size() > max_response_bytes)
    {
        this->fail(errc::answer_too_large);
        return -1;
    }
    this->response.body.append(bytes);
    return 0;
}

namespace
{

int handle_request_event(client_exchange& exchange, lws_callback_reasons reason, void* in, size_t length)
{
    switch (reason)
    {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
    {
        auto* const position = static_cast<unsigned char**>(in);
        return exchange.add_headers(position, *position + length);
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
        return exchange.write_body();
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
        return exchange.read_response_header();
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
        return exchange.read_body();
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
        return exchange.append_body({static_cast<const char*>(in), length});
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
        exchange.complete();
        return -1;
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
        exchange.fail(exchange.may_have_been_sent ? errc::answer_incomplete : errc::connect_failed);
        return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
        exchange.fail(errc::answer_incomplete);
        return 0;
    default:
        return 0;
    }
}

int handle_client_event(lws* connection, lws_callback_reasons reason, void* /*user*/, void* in, size_t length)
{
    auto* const exchange = static_cast<client_exchange*>(lws_get_opaque_user_data(connection));
    if (exchange == nullptr)
    {
        return 0;
    }
    exchange->connection = connection;
    if (reason == LWS_CALLBACK_WSI_DESTROY)
    {
        lws_set_opaque_user_data(connection, nullptr);
        exchange->connection = nullptr;
        exchange->fail(exchange->may_have_been_sent ? errc::answer_incomplete : errc::connect_failed);
        exchange->self_reference.reset();
        return 0;
    }
    return exchange->is_finished ? 0 : handle_request_event(*exchange, reason, in, length);
}

const std::array<lws_protocols, 2> client_protocols{{
    {protocol_name, handle_client_event, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

/// @brief Returns the virtual host that all clients of a loop share; it exists as long as the loop.
lws_vhost* shared_vhost(lws_context* context)
{
    lws_vhost* const existing = lws_get_vhost_by_name(context, vhost_name);
    if (existing != nullptr)
    {
        return existing;
    }
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.vhost_name = vhost_name;
    info.protocols = client_protocols.data();
    // A watch waits for many seconds; without keep-alive probes a silent connection is detected only at the timeout.
    info.ka_time = keep_alive_interval_seconds;
    info.ka_interval = keep_alive_interval_seconds;
    info.ka_probes = keep_alive_probes;
    // Port 0 disables the proxy. Without an address libwebsockets uses the proxy of the environment variable
    // http_proxy.
    info.http_proxy_address = "none:0";
    return lws_create_vhost(context, &info);
}

} // namespace
} // namespace detail

client::client(net::event_loop& loop) : data(std::make_shared<state>(loop))
{
    this->data->weak_self = this->data;
    this->data->vhost = detail::shared_vhost(loop.context());
    if (this->data->vhost == nullptr)
    {
        throw std::system_error(errc::connect_failed, "cannot create the virtual host of the client");
    }
}

client::~client()
{
    const auto active = std::exchange(this->data->active, {});
    for (detail::client_exchange* const exchange : active)
    {
        exchange->cancel();
    }
}

void client::send(const core::socket_address& server, request message, core::duration timeout, reply_hook on_reply)
{
    const auto exchange = std::make_shared<detail::client_exchange>(*this->data, *this->data->loop, std::move(message),
                                                                    std::move(on_reply));
    this->data->active.insert(exchange.get());
    if (!is_valid(exchange->message))
    {
        exchange->fail(errc::invalid_request);
        return;
    }
    const std::string host = core::to_string(server);
    lws_client_connect_info info{};
    info.context = this->data->loop->context();
    info.vhost = this->data->vhost;
    info.address = server.host.c_str();
    info.port = server.port;
    // Without LCCSCF_PIPELINE libwebsockets neither queues the request on another connection nor reuses this one.
    info.ssl_connection = LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
    info.path = exchange->message.path.c_str();
    info.host = host.c_str();
    info.origin = host.c_str();
    info.method = exchange->message.method.c_str();
    info.alpn = "http/1.1";
    info.protocol = protocol_name;
    info.local_protocol_name = protocol_name;
    info.opaque_user_data = exchange.get();
    info.pwsi = &exchange->connection;
    exchange->timeout_timer->schedule(timeout);
    exchange->self_reference = exchange;
    if (lws_client_connect_via_info(&info) == nullptr)
    {
        // libwebsockets may have destroyed the connection already, with or without its event.
        exchange->connection = nullptr;
        exchange->fail(errc::connect_failed);
        exchange->self_reference.reset();
    }
}

std::size_t client::in_flight() const noexcept
{
    return this->data->active.size();
}

} // namespace poplarport::control
