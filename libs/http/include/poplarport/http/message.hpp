#pragma once

#include <cstdint> // uint64_t
#include <string>  // string

#include "poplarport/http/header_fields.hpp"

namespace poplarport::http
{

/// @brief How the length of a body is determined.
enum class body_framing
{
    none,       ///< no body
    fixed,      ///< Content-Length
    chunked,    ///< Transfer-Encoding: chunked
    until_close ///< the body ends with the connection; responses only
};

/// @brief Method, target and header section of a request.
///
/// The fields exclude Content-Length and Transfer-Encoding, which framing and content_length replace.
struct request_header
{
    std::string method{};
    std::string target{};
    header_fields fields{};
    body_framing framing{body_framing::none};
    std::uint64_t content_length{0}; ///< bytes, for fixed framing
    int minor_version{1};            ///< 0 for HTTP/1.0, 1 for HTTP/1.1
    bool keep_alive{true};
};

/// @brief Status and header section of a response; framing as in request_header.
struct response_header
{
    int status{0};
    std::string reason{};
    header_fields fields{};
    body_framing framing{body_framing::none};
    std::uint64_t content_length{0}; ///< bytes, for fixed framing
    bool keep_alive{true};
};

/// @return whether responses with this status never have a body (RFC 9110, section 6.4.1)
[[nodiscard]] constexpr bool is_bodyless_status(int status) noexcept
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    constexpr int first_final_status = 200;
    return status < first_final_status || status == no_content || status == not_modified;
}

/// @return the standard reason phrase of a status, or an empty string if it has none
[[nodiscard]] std::string reason_phrase(int status);

/// @return the request line and header section in wire format, with the framing fields and the final empty line
[[nodiscard]] std::string serialize(const request_header& header);

/// @return the status line and header section in wire format, with the framing fields and the final empty line
[[nodiscard]] std::string serialize(const response_header& header);

/// @return one chunk of a chunked body in wire format
[[nodiscard]] std::string serialize_chunk(std::string_view bytes);

/// @brief Last chunk of a chunked body, with an empty trailer section.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// @brief Removes the hop-by-hop fields, which apply to one connection only (RFC 9110, section 7.6.1).
/// @param[in,out] fields header fields of a message to be forwarded
void remove_hop_by_hop(header_fields& fields);

} // namespace poplarport::http
