#include "poplarport/control/errors.hpp"

#include <array> // array

namespace poplarport::control
{
namespace
{

constexpr std::array<result::code_entry, 11> rows{{
    {1100, "connect_failed", "No connection to the server was established.",
     "The address is wrong, the server is down or the network is interrupted."},
    {1101, "timed_out", "No complete response was received in time.",
     "The server is slow or the connection is silent; a request that was sent may have taken effect."},
    {1102, "answer_incomplete", "The connection closed before the end of the response.",
     "The server stopped or failed; a request that was sent may have taken effect."},
    {1103, "answer_too_large", "The response exceeds the limit of the client.",
     "The server is not the expected one or stores a value above the limit."},
    {1104, "invalid_request", "The request cannot be expressed in HTTP.",
     "The path, a header field or the address contains characters that are not allowed."},
    {1105, "listen_failed", "The server cannot listen on its address.",
     "Another process uses the port or the address does not belong to this machine."},
    {1106, "body_too_large", "The body of the request exceeds the server's limit.", "Send a smaller body."},
    {1107, "path_not_found", "The server has no such path.", "Correct the path of the request."},
    {1108, "method_not_allowed", "The path does not accept the method.", "Correct the method of the request."},
    {1109, "no_answer", "The handler of the request gave no answer.", "The server is stopping or has a fault."},
    {1110, "length_missing", "The answer does not announce the length of its body.",
     "The server sends chunked responses, whose truncation the client cannot detect."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"control", rows};
    return instance;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::control
