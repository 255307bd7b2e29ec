#include "poplarport/http/errors.hpp"

#include <array> // array

namespace poplarport::http
{

namespace
{

constexpr std::array<result::code_entry, 12> rows{{
    {1000, "malformed_message", "The message does not follow the syntax of HTTP/1.1.",
     "A line ends in a bare line feed, or a header field or chunk is malformed."},
    {1001, "header_too_large", "The header section is larger than the limit.",
     "A cookie or credential is too long; shorten it or raise the limit."},
    {1002, "ambiguous_length", "The length of the body is stated in more than one way.",
     "Content-Length is repeated or combined with Transfer-Encoding; such messages are used for request smuggling."},
    {1003, "unsupported_version", "The protocol version is not HTTP/1.0 or HTTP/1.1.",
     "The client uses another protocol on this port."},
    {1004, "unsupported_transfer_coding", "The transfer coding is not chunked.",
     "The sender compresses the body with a transfer coding; use a content coding."},
    {1005, "invalid_host", "The Host field is missing or repeated.", "HTTP/1.1 requires exactly one Host field."},
    {1006, "incomplete_message", "The connection closed in the middle of a message.",
     "The remote process stopped while it was sending."},
    {1007, "too_many_connections", "The connection limit is reached.",
     "More connections are in use than the limit for this endpoint allows."},
    {1008, "timed_out", "The remote side did not send in time.", "The remote process is frozen or overloaded."},
    {1009, "unexpected_bytes", "Bytes arrived while no response was expected.",
     "The remote side sent a response twice, or requests and responses no longer correspond; the connection is "
     "closed."},
    {1010, "framing_too_large", "The line before a chunk or the trailer section is larger than the limit.",
     "The sender is faulty and sends bytes without end; the connection is closed."},
    {1011, "too_many_interim_responses", "The interim responses to one request are larger than the limit.",
     "The upstream is faulty and sends interim responses without end; the connection is closed."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"http", rows};
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), category()};
}

int status_of(std::error_code error) noexcept
{
    constexpr int bad_request = 400;
    constexpr int request_timeout = 408;
    constexpr int header_fields_too_large = 431;
    constexpr int not_implemented = 501;
    constexpr int version_not_supported = 505;
    if (error == errc::header_too_large)
    {
        return header_fields_too_large;
    }
    if (error == errc::unsupported_transfer_coding)
    {
        return not_implemented;
    }
    if (error == errc::unsupported_version)
    {
        return version_not_supported;
    }
    return error == errc::timed_out ? request_timeout : bad_request;
}

} // namespace poplarport::http
