#include "poplarport/standins/detail/control_server.hpp"

#include <memory>    // make_shared, shared_ptr
#include <stdexcept> // invalid_argument
#include <utility>   // move

#include <nlohmann/json.hpp>

namespace poplarport::standins::detail
{

namespace
{

constexpr std::size_t max_body_bytes = 65536;

control_response response_to(const control_server::handler& handle, const control_request& request)
{
    constexpr int bad_request = 400;
    constexpr int content_too_large = 413;
    if (request.body.size() > max_body_bytes)
    {
        return {content_too_large, error_body("the body is longer than 65536 bytes")};
    }
    try
    {
        return handle(request);
    }
    catch (const std::invalid_argument& error)
    {
        return {bad_request, error_body(error.what())};
    }
}

void respond_json(http::server_exchange& exchange, const control_response& response)
{
    http::response_header header{.status = response.status};
    header.fields.add("Content-Type", "application/json");
    http::respond(exchange, std::move(header), response.body);
}

http::server build_server(net::event_loop& loop, const core::socket_address& address, control_server::handler handle)
{
    const auto on_request = [handle = std::move(handle)](const std::shared_ptr<http::server_exchange>& exchange)
    {
        const auto& header = exchange->request();
        const auto request = std::make_shared<control_request>(control_request{header.method, header.target, {}});
        const auto append = [request](std::string_view bytes)
        {
            if (request->body.size() <= max_body_bytes)
            {
                request->body.append(bytes);
            }
        };
        const auto send_response = [request, exchange, handle]
        {
            respond_json(*exchange, response_to(handle, *request));
        };
        exchange->set_hooks({.on_body = append, .on_body_end = send_response, .on_writable = {}, .on_cancelled = {}});
    };
    return http::server::builder{}.listen_on(address).on_request(on_request).build(loop);
}

} // namespace

control_server::control_server(net::event_loop& loop, const core::socket_address& address, handler handle)
    : server(build_server(loop, address, std::move(handle)))
{
}

core::socket_address control_server::address() const
{
    return this->server.address();
}

std::string error_body(const std::string& text)
{
    return nlohmann::json{{"error", text}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace poplarport::standins::detail
