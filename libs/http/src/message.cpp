#include "poplarport/http/message.hpp"

#include <array>    // array
#include <charconv> // to_chars
#include <ostream>  // ostream, which Boost's header needs complete
#include <vector>   // vector

#include <boost/beast/http/status.hpp>

namespace poplarport::http
{

namespace
{

void append_fields(std::string& text, const header_fields& fields)
{
    for (const auto& field : fields)
    {
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

void append_framing(std::string& text, body_framing framing, std::uint64_t content_length)
{
    if (framing == body_framing::fixed)
    {
        text.append("Content-Length: ").append(std::to_string(content_length)).append("\r\n");
    }
    else if (framing == body_framing::chunked)
    {
        text.append("Transfer-Encoding: chunked\r\n");
    }
}

void append_connection(std::string& text, bool keep_alive)
{
    if (!keep_alive)
    {
        text.append("Connection: close\r\n");
    }
}

} // namespace

std::string reason_phrase(int status)
{
    const auto phrase = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {phrase.data(), phrase.size()};
}

std::string serialize(const request_header& header)
{
    std::string text;
    text.append(header.method).append(" ").append(header.target).append(" HTTP/1.1\r\n");
    append_fields(text, header.fields);
    append_framing(text, header.framing, header.content_length);
    append_connection(text, header.keep_alive);
    return text.append("\r\n");
}

std::string serialize(const response_header& header)
{
    std::string text{"HTTP/1.1 "};
    text.append(std::to_string(header.status)).append(" ");
    text.append(header.reason.empty() ? reason_phrase(header.status) : header.reason).append("\r\n");
    append_fields(text, header.fields);
    append_framing(text, header.framing, header.content_length);
    append_connection(text, header.keep_alive);
    return text.append("\r\n");
}

std::string serialize_chunk(std::string_view bytes)
{
    constexpr int hexadecimal = 16;
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), hexadecimal).ptr;
    std::string text{size.data(), end};
    return text.append("\r\n").append(bytes).append("\r\n");
}

void remove_hop_by_hop(header_fields& fields)
{
    std::vector<std::string> connection_fields;
    for (const auto& field : fields)
    {
        // A field listed in Connection applies to this connection only, whatever its name is.
        if (!equal_names(field.name, "Connection") && fields.contains_token("Connection", field.name))
        {
            connection_fields.push_back(field.name);
        }
    }
    for (const auto& name : connection_fields)
    {
        fields.erase(name);
    }
    for (const char* name : {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
                             "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"})
    {
        fields.erase(name);
    }
}

} // namespace poplarport::http
