#include "poplarport/control/client.hpp"

#include <algorithm> // max, min, ranges::all_of
#include <chrono>    // seconds
#include <memory>    // enable_shared_from_this, make_shared, shared_ptr, weak_ptr
#include <optional>  // optional
#include <set>       // set
#include <string>    // string
#include <utility>   // exchange, move

#include "poplarport/control/errors.hpp"
#include "poplarport/http/client_connection.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::control
{
namespace
{

// A connection to a machine that no longer responds is detected after two seconds, the time within which a new
// configuration must be active.
constexpr std::chrono::seconds keep_alive_interval{1};
constexpr int keep_alive_probes = 1;

// A large response may take longer than the timeout while its body arrives; without progress for this time, or for the
// timeout if it is shorter, it ends, and in any case after this many such times.
constexpr std::chrono::seconds max_progress_limit{1};
constexpr int max_extensions = 5;

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

http::request_header make_header(const core::socket_address& server, const request& message)
{
    http::request_header header{.method = message.method, .target = message.path};
    header.fields.add("Host", core::to_string(server));
    for (const auto& field : message.headers)
    {
        header.fields.add(field.name, field.value);
    }
    const bool has_body = !message.body.empty() || message.method == "PUT" || message.method == "POST";
    header.framing = has_body ? http::body_framing::fixed : http::body_framing::none;
    header.content_length = message.body.size();
    header.keep_alive = false;
    return header;
}

} // namespace

namespace detail
{

/// @brief One request on its connection; owned by the client until the request ends.
class client_exchange : public std::enable_shared_from_this<client_exchange>
{
  public:
    client_exchange(client::state& client_state, net::event_loop& loop, client::reply_hook hook)
        : owner(&client_state), on_reply(std::move(hook)), event_loop(&loop),
          timeout_timer(loop, [this] { this->expire(); })
    {
    }

    /// @brief Sends the request.
    void start(net::event_loop& loop, const core::socket_address& server, const request& message,
               core::duration timeout);

    /// @brief Ends the request with an error.
    void fail(std::error_code error, bool may_have_been_sent);

    /// @brief Ends the request without calling its hook.
    void cancel();

  private:
    void handle_header(const http::response_header& header);
    void handle_body(std::string_view bytes);
    void extend_timeout();
    void expire();
    void finish(reply result);

    client::state* owner;
    client::reply_hook on_reply;
    control::response response{};
    std::shared_ptr<http::client_connection> connection{};
    net::event_loop* event_loop;
    core::duration progress_limit{0};
    core::time_point deadline{};
    std::optional<core::time_point> max_deadline{}; ///< set by the first bytes of the body
    net::timer timeout_timer;
};

} // namespace detail

struct client::state
{
    explicit state(net::event_loop& shared) noexcept : loop(&shared)
    {
    }

    net::event_loop* loop;
    std::set<std::shared_ptr<detail::client_exchange>> active{};
    std::weak_ptr<state> weak_self{}; ///< expired for posted hooks once the client is destroyed
};

namespace detail
{

void client_exchange::start(net::event_loop& loop, const core::socket_address& server, const request& message,
                            core::duration timeout)
{
    this->progress_limit = std::min<core::duration>(timeout, max_progress_limit);
    this->deadline = loop.now() + timeout;
    this->timeout_timer.schedule(timeout);
    this->connection = http::client_connection::connect(loop, server, timeout);
    this->connection->set_keep_alive(keep_alive_interval, keep_alive_probes);
    this->connection->start(
        make_header(server, message),
        {.on_interim = {},
         .on_response_header = [this](http::response_header& header) { this->handle_header(header); },
         .on_body = [this](std::string_view bytes) { this->handle_body(bytes); },
         .on_end =
             [this] {
                 this->finish({std::move(this->response), {}, false});
             },
         .on_writable = {},
         .on_failed =
             [this](const http::client_failure& failure)
         {
             this->fail(failure.bytes_sent ? errc::answer_incomplete : errc::connect_failed, failure.bytes_sent);
         }});
    this->connection->send_body(message.body);
    this->connection->finish_request();
}

void client_exchange::handle_header(const http::response_header& header)
{
    // The end of a connection does not prove that the body is complete.
    if (header.framing == http::body_framing::until_close)
    {
        this->fail(errc::length_missing, true);
        return;
    }
    if (header.framing == http::body_framing::fixed && header.content_length > max_response_bytes)
    {
        this->fail(errc::answer_too_large, true);
        return;
    }
    this->response.status = static_cast<unsigned>(header.status);
    const auto* const type = header.fields.find("Content-Type");
    this->response.content_type = type == nullptr ? std::string{} : *type;
    for (const auto& field : header.fields)
    {
        this->response.headers.push_back({field.name, field.value});
    }
}

void client_exchange::handle_body(std::string_view bytes)
{
    if (this->response.body.size() + bytes.size() > max_response_bytes)
    {
        this->fail(errc::answer_too_large, true);
        return;
    }
    this->response.body.append(bytes);
    this->extend_timeout();
}

void client_exchange::extend_timeout()
{
    const auto now = this->event_loop->now();
    if (!this->max_deadline)
    {
        this->max_deadline = now + this->progress_limit * max_extensions;
    }
    this->deadline = std::max(this->deadline, std::min(now + this->progress_limit, *this->max_deadline));
    this->timeout_timer.schedule(this->deadline - now);
}

void client_exchange::expire()
{
    this->fail(errc::timed_out, this->connection->has_sent_bytes());
}

void client_exchange::fail(std::error_code error, bool may_have_been_sent)
{
    this->finish({std::nullopt, error, may_have_been_sent});
}

void client_exchange::finish(reply result)
{
    const auto self = this->shared_from_this();
    auto* const client_state = std::exchange(this->owner, nullptr);
    if (client_state == nullptr)
    {
        return;
    }
    this->cancel();
    client_state->active.erase(self);
    // The hook runs from the loop, so that it may destroy the client; it does not run after the client is destroyed.
    client_state->loop->post(
        [client_alive = client_state->weak_self, hook = std::move(this->on_reply), result = std::move(result)]
        {
            if (!client_alive.expired())
            {
                hook(result);
            }
        });
}

void client_exchange::cancel()
{
    this->owner = nullptr;
    this->timeout_timer.cancel();
    if (const auto closing = std::exchange(this->connection, nullptr))
    {
        closing->abort();
    }
}

} // namespace detail

client::client(net::event_loop& loop) : data(std::make_shared<state>(loop))
{
    this->data->weak_self = this->data;
}

client::~client()
{
    for (const auto& exchange : std::exchange(this->data->active, {}))
    {
        exchange->cancel();
    }
}

void client::send(const core::socket_address& server, const request& message, core::duration timeout,
                  reply_hook on_reply)
{
    const auto exchange =
        std::make_shared<detail::client_exchange>(*this->data, *this->data->loop, std::move(on_reply));
    this->data->active.insert(exchange);
    if (!is_valid(message))
    {
        exchange->fail(errc::invalid_request, false);
        return;
    }
    exchange->start(*this->data->loop, server, message, timeout);
}

std::size_t client::in_flight() const noexcept
{
    return this->data->active.size();
}

} // namespace poplarport::control
