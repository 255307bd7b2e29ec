#include "poplarport/http/client_connection.hpp"

#include <charconv>     // from_chars
#include <chrono>       // seconds
#include <cstdint>      // uint32_t
#include <string_view>  // string_view
#include <system_error> // errc
#include <utility>      // exchange, move

#include "poplarport/http/detail/message_parser.hpp"
#include "poplarport/http/errors.hpp"
#include "poplarport/net/errors.hpp"
#include "poplarport/net/stream_socket.hpp"

namespace poplarport::http
{

namespace
{

constexpr std::size_t response_header_limit_bytes = 32768;

// Limits the interim responses to one request. A request of a day with one of them each ten seconds stays below.
constexpr std::size_t interim_limit_bytes = std::size_t{256} * 1024;

// Parses the timeout parameter of Keep-Alive, which is in whole seconds.
std::optional<core::duration> keep_alive_timeout(const header_fields& fields)
{
    constexpr std::string_view name = "timeout=";
    const auto* const field = fields.find("Keep-Alive");
    const auto position = field == nullptr ? std::string::npos : field->find(name);
    if (position == std::string::npos)
    {
        return std::nullopt;
    }
    std::uint32_t seconds = 0;
    const auto* const end = field->data() + field->size();
    const auto result = std::from_chars(field->data() + position + name.size(), end, seconds);
    return result.ec == std::errc{} ? std::optional<core::duration>{std::chrono::seconds{seconds}} : std::nullopt;
}

class socket_client_connection final : public client_connection
{
  public:
    socket_client_connection()
        : parser(detail::message_parser::kind::response, response_header_limit_bytes), events(std::make_shared<hooks>())
    {
    }

    ~socket_client_connection() override
    {
        if (this->socket)
        {
            this->socket->close();
        }
    }

    socket_client_connection(const socket_client_connection&) = delete;
    socket_client_connection& operator=(const socket_client_connection&) = delete;

    void open(net::event_loop& loop, const core::socket_address& address, core::duration timeout)
    {
        this->socket =
            net::stream_socket::connect(loop, address, timeout,
                                        {.on_connected = {},
                                         .on_bytes = [this](std::string_view bytes) { this->handle_bytes(bytes); },
                                         .on_drained = [this] { this->handle_drained(); },
                                         .on_closed =
                                             [this](std::error_code reason)
                                         {
                                             this->handle_closed(reason);
                                         }});
    }

    void set_keep_alive(std::chrono::seconds interval, int probes) override
    {
        this->socket->set_keep_alive(interval, probes);
    }

    void start(const request_header& header, hooks new_hooks) override
    {
        this->events = std::make_shared<hooks>(std::move(new_hooks));
        this->active = true;
        this->header_received = false;
        this->interim_bytes = 0;
        this->request_finished = header.framing == body_framing::none;
        this->request_framing = header.framing;
        this->sent_bytes_at_start = this->socket->sent_bytes();
        this->parser.start(header.method == "HEAD");
        this->socket->send(serialize(header));
    }

    void send_body(std::string_view bytes) override
    {
        if (!this->active || this->request_finished || bytes.empty())
        {
            return;
        }
        this->socket->send(this->request_framing == body_framing::chunked ? serialize_chunk(bytes)
                                                                          : std::string{bytes});
    }

    void finish_request() override
    {
        if (!this->active || this->request_finished)
        {
            return;
        }
        this->request_finished = true;
        if (this->request_framing == body_framing::chunked)
        {
            this->socket->send(last_chunk);
        }
    }

    void set_reading(bool enabled) override
    {
        this->reading = enabled;
        if (this->closed)
        {
            return;
        }
        this->socket->set_reading(enabled);
    }

    void abort() override
    {
        this->active = false;
        this->closed = true;
        this->events = std::make_shared<hooks>();
        this->socket->close();
    }

    [[nodiscard]] bool is_reusable() const noexcept override
    {
        return !this->active && !this->closed && this->keep_alive && !this->socket->has_unread_input();
    }

    [[nodiscard]] bool is_closed() const noexcept override
    {
        return this->closed;
    }

    [[nodiscard]] std::optional<core::duration> idle_limit() const noexcept override
    {
        return this->stated_idle_limit;
    }

    [[nodiscard]] bool was_dropped() const noexcept override
    {
        return this->dropped;
    }

    [[nodiscard]] bool has_sent_bytes() const noexcept override
    {
        return this->socket->sent_bytes() > this->sent_bytes_at_start;
    }

    [[nodiscard]] std::size_t pending_bytes() const noexcept override
    {
        return this->socket->pending_bytes();
    }

  private:
    void handle_bytes(std::string_view bytes)
    {
        const auto self = this->shared_from_this();
        if (!this->active)
        {
            this->fail(errc::unexpected_bytes);
            return;
        }
        this->parser.append(bytes);
        while (this->active && this->process_step())
        {
        }
    }

    bool process_step()
    {
        const auto current_hooks = this->events;
        auto step = this->parser.step();
        if (step.error)
        {
            this->fail(step.error);
            return false;
        }
        if (step.header_complete && !this->handle_header(*current_hooks))
        {
            return this->active;
        }
        if (!step.body.empty() && current_hooks->on_body)
        {
            current_hooks->on_body(step.body);
        }
        if (step.message_complete && this->active)
        {
            this->complete();
            return false;
        }
        return !step.needs_more;
    }

    // Returns whether the header section belongs to the final response and the request is still active.
    bool handle_header(const hooks& current_hooks)
    {
        constexpr int min_status = 100;
        constexpr int switching_protocols = 101;
        constexpr int first_final_status = 200;
        constexpr int max_status = 599;
        auto& header = this->parser.response();
        // RFC 9110 (section 15) defines no response outside this range. The connection was not asked to switch
        // protocols.
        if (header.status < min_status || header.status > max_status || header.status == switching_protocols)
        {
            this->fail(errc::malformed_message);
            return false;
        }
        if (header.status < first_final_status)
        {
            const auto interim = std::move(header);
            this->parser.start();
            this->interim_bytes += serialize(interim).size();
            if (this->interim_bytes > interim_limit_bytes)
            {
                this->fail(errc::too_many_interim_responses);
                return false;
            }
            if (current_hooks.on_interim)
            {
                current_hooks.on_interim(interim);
            }
            return false;
        }
        this->header_received = true;
        this->keep_alive = header.keep_alive && header.framing != body_framing::until_close;
        this->stated_idle_limit = keep_alive_timeout(header.fields);
        if (current_hooks.on_response_header)
        {
            current_hooks.on_response_header(header);
        }
        return this->active;
    }

    void complete()
    {
        this->active = false;
        // A response that ends before its request leaves the connection in the middle of a message.
        this->keep_alive = this->keep_alive && this->request_finished && this->socket->pending_bytes() == 0 &&
                           this->parser.unparsed_bytes() == 0;
        // The hooks of this request may have paused reading. The response to the next request would then never be read,
        // and the end of an idle connection would not be detected.
        this->set_reading(true);
        const auto current_hooks = std::exchange(this->events, std::make_shared<hooks>());
        if (current_hooks->on_end)
        {
            current_hooks->on_end();
        }
    }

    void handle_drained()
    {
        const auto self = this->shared_from_this();
        const auto current_hooks = this->events;
        if (this->active && current_hooks->on_writable)
        {
            current_hooks->on_writable();
        }
    }

    void handle_closed(std::error_code reason)
    {
        const auto self = this->shared_from_this();
        // Only an orderly close ends a body without a stated length; after a reset the body may be incomplete.
        const bool ends_body = reason == net::errc::connection_closed && this->active && this->header_received &&
                               this->parser.response().framing == body_framing::until_close && !this->parser.finish();
        if (ends_body)
        {
            this->closed = true;
            this->complete();
            return;
        }
        this->fail(reason);
    }

    void fail(std::error_code reason)
    {
        const bool was_active = std::exchange(this->active, false);
        const bool is_connection_end = reason == net::errc::connection_reset || reason == net::errc::connection_closed;
        this->dropped = was_active && is_connection_end && !this->parser.has_started();
        this->closed = true;
        const client_failure failure{reason, this->has_sent_bytes(), this->header_received};
        this->socket->close();
        const auto current_hooks = std::exchange(this->events, std::make_shared<hooks>());
        if (was_active && current_hooks->on_failed)
        {
            current_hooks->on_failed(failure);
        }
    }

    std::unique_ptr<net::stream_socket> socket{};
    detail::message_parser parser;
    std::shared_ptr<hooks> events;
    bool active{false};
    bool closed{false};
    bool reading{true};
    bool keep_alive{true};
    bool header_received{false};
    std::size_t interim_bytes{0}; ///< of the interim responses to the request in progress
    bool dropped{false};
    std::optional<core::duration> stated_idle_limit{};
    bool request_finished{false};
    body_framing request_framing{body_framing::none};
    std::size_t sent_bytes_at_start{0};
};

} // namespace

std::shared_ptr<client_connection>
client_connection::connect(net::event_loop& loop, const core::socket_address& address, core::duration timeout)
{
    auto connection = std::make_shared<socket_client_connection>();
    connection->open(loop, address, timeout);
    return connection;
}

} // namespace poplarport::http
