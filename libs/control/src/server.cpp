#include "poplarport/control/server.hpp"

#include <algorithm>    // ranges::any_of
#include <exception>    // exception
#include <optional>     // optional
#include <string_view>  // string_view
#include <system_error> // system_error
#include <utility>      // move

#include "detail/server_exchange.hpp"
#include "poplarport/control/errors.hpp"
#include "poplarport/http/server.hpp"

namespace poplarport::control
{

struct server::state
{
    std::vector<control::route> routes{};
    std::optional<http::server> transport{};
};

namespace
{

// Maximum size of a request header section; the header fields of the object API need less than 1 KB.
constexpr std::size_t header_limit_bytes = 8192;

std::vector<query_parameter> parse_query(std::string_view text)
{
    std::vector<query_parameter> query;
    while (!text.empty())
    {
        const auto end = text.find('&');
        const auto parameter = text.substr(0, end);
        const auto equals = parameter.find('=');
        const auto value = equals == std::string_view::npos ? std::string_view{} : parameter.substr(equals + 1);
        if (!parameter.empty())
        {
            query.push_back({percent_decode(parameter.substr(0, equals)), percent_decode(value)});
        }
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return query;
}

request read_request(const http::request_header& received)
{
    const std::string_view target{received.target};
    const auto query_start = target.find('?');
    request message;
    message.method = received.method;
    message.path = percent_decode(target.substr(0, query_start));
    message.query =
        parse_query(query_start == std::string_view::npos ? std::string_view{} : target.substr(query_start + 1));
    for (const auto& name : captured_headers)
    {
        if (const auto* const value = received.fields.find(name); value != nullptr && !value->empty())
        {
            message.headers.push_back({std::string{name}, *value});
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
            // An exception must not propagate through the event loop of libwebsockets, which is written in C.
            request_responder.send(error_response(status::internal_error, errc::no_answer));
        }
        return;
    }
    const bool is_known_path =
        std::ranges::any_of(routes, [&message](const route& candidate) { return matches(candidate, message.path); });
    request_responder.send(is_known_path ? error_response(status::method_not_allowed, errc::method_not_allowed)
                                         : error_response(status::not_found, errc::path_not_found));
}

/// @brief Reads the body of a request and passes the request to its route.
void accept(const std::vector<route>& routes, std::shared_ptr<http::server_exchange> carrier)
{
    auto message = read_request(carrier->request());
    const auto transport = carrier;
    const auto exchange = std::make_shared<detail::server_exchange>(std::move(carrier), std::move(message));
    transport->set_hooks({.on_body = [exchange](std::string_view bytes) { exchange->append_body(bytes); },
                          .on_body_end =
                              [&routes, exchange]
                          {
                              if (exchange->is_open())
                              {
                                  dispatch(routes, exchange);
                              }
                          },
                          .on_writable = {},
                          .on_cancelled =
                              [exchange](std::error_code)
                          {
                              exchange->detach();
                          }});
}

} // namespace

server::server(std::unique_ptr<state> built) noexcept : data(std::move(built))
{
}

server::~server() = default;

const core::socket_address& server::address() const noexcept
{
    return this->bound_address;
}

std::size_t server::connections() const noexcept
{
    return this->data->transport->connection_count();
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
    built->routes = std::move(this->routes);
    try
    {
        built->transport = http::server::builder{}
                               .listen_on(this->address)
                               .with_limits({.header_bytes = header_limit_bytes})
                               .on_request([&routes = built->routes](std::shared_ptr<http::server_exchange> carrier)
                                           { accept(routes, std::move(carrier)); })
                               .build(*this->loop);
    }
    catch (const std::system_error&)
    {
        throw std::system_error(errc::listen_failed, core::to_string(this->address));
    }
    std::unique_ptr<server> listening{new server{std::move(built)}};
    listening->bound_address = listening->data->transport->address();
    return listening;
}

} // namespace poplarport::control
