#include "detail/server_exchange.hpp"

#include <algorithm> // min
#include <array>     // array
#include <cstring>   // memcpy
#include <utility>   // exchange, move

#include <libwebsockets.h>

#include "detail/close_connection.hpp"

namespace poplarport::control::detail
{
namespace
{

constexpr std::size_t header_bytes = 1024;
constexpr std::size_t chunk_bytes = 32768;

} // namespace

void server_exchange::set_response(control::response new_response)
{
    if (!this->is_open())
    {
        return;
    }
    this->is_response_set = true;
    this->response = std::move(new_response);
    this->on_disconnect = nullptr;
    lws_rx_flow_control(this->connection, 1);
    lws_callback_on_writable(this->connection);
}

void server_exchange::drop() noexcept
{
    if (this->connection != nullptr)
    {
        close_connection(this->connection);
    }
}

int server_exchange::write()
{
    if (!this->is_response_set)
    {
        return 0;
    }
    if (!this->is_header_sent)
    {
        return this->write_header();
    }
    return this->write_body();
}

int server_exchange::write_header()
{
    std::array<unsigned char, LWS_PRE + header_bytes> buffer{};
    unsigned char* const start = buffer.data() + LWS_PRE;
    unsigned char* const end = buffer.data() + buffer.size() - 1;
    unsigned char* position = start;
    const auto* const type = reinterpret_cast<const unsigned char*>(this->response.content_type.data());
    if (lws_add_http_header_status(this->connection, this->response.status, &position, end) != 0)
    {
        return -1;
    }
    // A response with status 204 has neither a body nor a content length.
    if (this->response.status != status::no_content &&
        (lws_add_http_header_by_token(this->connection, WSI_TOKEN_HTTP_CONTENT_TYPE, type,
                                      static_cast<int>(this->response.content_type.size()), &position, end) != 0 ||
         lws_add_http_header_content_length(this->connection, this->response.body.size(), &position, end) != 0))
    {
        return -1;
    }
    if (lws_finalize_write_http_header(this->connection, start, &position, end) != 0)
    {
        return -1;
    }
    this->is_header_sent = true;
    const bool has_body =
        this->response.status != status::no_content && !this->response.body.empty() && this->message.method != "HEAD";
    if (!has_body)
    {
        return this->closes_after_response || lws_http_transaction_completed(this->connection) != 0 ? -1 : 0;
    }
    lws_callback_on_writable(this->connection);
    return 0;
}

int server_exchange::write_body()
{
    const std::size_t size = std::min(chunk_bytes, this->response.body.size() - this->body_sent);
    if (size == 0)
    {
        return 0;
    }
    std::array<unsigned char, LWS_PRE + chunk_bytes> buffer{};
    std::memcpy(buffer.data() + LWS_PRE, this->response.body.data() + this->body_sent, size);
    this->body_sent += size;
    const bool is_last = this->body_sent == this->response.body.size();
    const auto kind = is_last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
    if (lws_write(this->connection, buffer.data() + LWS_PRE, size, kind) < 0)
    {
        return -1;
    }
    if (is_last)
    {
        return this->closes_after_response || lws_http_transaction_completed(this->connection) != 0 ? -1 : 0;
    }
    lws_callback_on_writable(this->connection);
    return 0;
}

void server_exchange::detach()
{
    this->connection = nullptr;
    const auto hook = std::exchange(this->on_disconnect, nullptr);
    if (hook && !this->is_response_set)
    {
        hook();
    }
}

} // namespace poplarport::control::detail
