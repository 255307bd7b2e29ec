#include "detail/server_exchange.hpp"

#include <utility> // exchange, move

#include "poplarport/control/errors.hpp"

namespace poplarport::control::detail
{

server_exchange::server_exchange(std::shared_ptr<http::server_exchange> new_carrier, request received) noexcept
    : message(std::move(received)), carrier(std::move(new_carrier))
{
}

void server_exchange::append_body(std::string_view bytes)
{
    if (!this->is_open())
    {
        return;
    }
    if (this->message.body.size() + bytes.size() > max_body_bytes)
    {
        this->set_response(
            {status::content_too_large, text_type, make_error_code(errc::body_too_large).message() + "\n"});
        return;
    }
    this->message.body.append(bytes);
}

void server_exchange::set_response(const control::response& response)
{
    const auto open_carrier = std::exchange(this->carrier, nullptr);
    if (!open_carrier)
    {
        return;
    }
    this->on_disconnect = nullptr;
    http::response_header header{.status = static_cast<int>(response.status)};
    if (response.status == status::no_content)
    {
        // A response with status 204 has neither a body nor a content length.
        open_carrier->send_header(std::move(header));
        open_carrier->finish();
        return;
    }
    header.fields.add("Content-Type", response.content_type);
    for (const auto& field : response.headers)
    {
        header.fields.add(field.name, field.value);
    }
    http::respond(*open_carrier, std::move(header), response.body);
}

void server_exchange::drop()
{
    if (const auto open_carrier = std::exchange(this->carrier, nullptr))
    {
        open_carrier->abort();
    }
}

void server_exchange::detach()
{
    this->carrier = nullptr;
    if (const auto hook = std::exchange(this->on_disconnect, nullptr))
    {
        hook();
    }
}

} // namespace poplarport::control::detail
