#pragma once

#include <cstdint>     // uint8_t, uint32_t
#include <memory>      // unique_ptr
#include <string>      // string
#include <string_view> // string_view
#include <utility>     // pair
#include <vector>      // vector

#include "peer_fixture.hpp"
#include "poplarport/net/listener.hpp"
#include "poplarport/net/stream_socket.hpp"

namespace poplarport::test
{

// Frame types, flags and error codes of RFC 9113.
enum frame_type : std::uint8_t
{
    data_frame = 0,
    headers_frame = 1,
    rst_stream_frame = 3,
    settings_frame = 4,
    goaway_frame = 7,
    window_update_frame = 8
};

constexpr std::uint8_t end_stream = 1;
constexpr std::uint8_t end_headers = 4;
constexpr std::uint32_t internal_error = 2;
constexpr std::uint32_t refused_stream = 7;

inline std::string number_bytes(std::uint32_t value, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    {
        text.push_back(static_cast<char>(value >> shift & 255));
    }
    return text;
}

inline std::string frame(frame_type type, std::uint8_t flags, std::uint32_t stream, const std::string& payload)
{
    return number_bytes(static_cast<std::uint32_t>(payload.size()), 3) + static_cast<char>(type) +
           static_cast<char>(flags) + number_bytes(stream, 4) + payload;
}

inline std::string settings()
{
    return frame(settings_frame, 0, 0, "");
}

inline std::string reset(std::uint32_t code)
{
    return frame(rst_stream_frame, 0, 1, number_bytes(code, 4));
}

inline std::string goaway(std::uint32_t last_stream)
{
    return frame(goaway_frame, 0, 0, number_bytes(last_stream, 4) + number_bytes(0, 4));
}

// A header block of literal fields without indexing (RFC 7541, section 6.2.2); names and values are shorter than 127
// bytes.
inline std::string header_block(const std::vector<std::pair<std::string, std::string>>& fields)
{
    std::string block;
    for (const auto& [name, value] : fields)
    {
        block += '\0';
        block += static_cast<char>(name.size()) + name;
        block += static_cast<char>(value.size()) + value;
    }
    return block;
}

inline std::string headers(const std::vector<std::pair<std::string, std::string>>& fields, std::uint8_t flags = 0)
{
    return frame(headers_frame, static_cast<std::uint8_t>(flags | end_headers), 1, header_block(fields));
}

inline std::string response_header()
{
    return headers({{":status", "200"}});
}

// Accepts connections and responds to the first bytes received with fixed bytes.
class raw_server
{
  public:
    raw_server(net::event_loop& loop, std::string response)
        : pending_response(std::move(response)),
          listener(loop, loopback,
                   [this](std::unique_ptr<net::stream_socket> accepted)
                   {
                       ++this->connections;
                       this->socket = std::move(accepted);
                       this->socket->set_hooks(
                           socket_hooks([this](std::string_view)
                                        { this->socket->send(std::exchange(this->pending_response, {})); }));
                   })
    {
    }

    [[nodiscard]] core::socket_address address() const
    {
        return this->listener.address();
    }

    int connections{0};
    std::unique_ptr<net::stream_socket> socket{};

  private:
    std::string pending_response;
    net::listener listener;
};

} // namespace poplarport::test
