#include "poplarport/peer/detail/header_codec.hpp"

#include <algorithm> // all_of, ranges::transform
#include <charconv>  // from_chars

namespace poplarport::peer::detail
{

namespace
{

// RFC 9113, section 6.5.2: this overhead is added to the size of each field.
constexpr std::size_t field_overhead_bytes = 32;

std::string lower_case(std::string_view name)
{
    std::string result{name};
    std::ranges::transform(result, result.begin(),
                           [](char character) {
                               return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                                           : character;
                           });
    return result;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return value;
}

void append_fields(std::vector<http::header_field>& list, http::header_fields fields, http::body_framing framing,
                   std::uint64_t content_length)
{
    http::remove_hop_by_hop(fields);
    for (const auto& field : fields)
    {
        list.push_back({lower_case(field.name), field.value});
    }
    if (framing == http::body_framing::fixed)
    {
        list.push_back({"content-length", std::to_string(content_length)});
    }
}

} // namespace

bool header_block::add(std::string_view name, std::string_view value, std::size_t limit_bytes)
{
    this->size += name.size() + value.size() + field_overhead_bytes;
    if (this->size > limit_bytes)
    {
        return false;
    }
    if (name == ":method")
    {
        this->method = value;
    }
    else if (name == ":path")
    {
        this->path = value;
    }
    else if (name == ":authority")
    {
        this->authority = value;
    }
    else if (name == ":status")
    {
        this->status = value;
    }
    else if (name == "content-length")
    {
        // A repeated length is rejected even if the values are equal.
        this->malformed = this->malformed || this->content_length.has_value();
        this->content_length = parse_number(value);
        this->malformed = this->malformed || !this->content_length;
    }
    else if (!name.starts_with(':'))
    {
        this->fields.add(name, value);
    }
    return true;
}

std::optional<http::request_header> header_block::to_request(bool has_body) const
{
    const bool has_target = this->path.starts_with('/') || (this->path == "*" && this->method == "OPTIONS");
    if (this->malformed || this->method.empty() || !has_target || this->fields.count("host") > 1)
    {
        return std::nullopt;
    }
    http::request_header header{.method = this->method, .target = this->path, .fields = this->fields};
    if (!this->authority.empty())
    {
        header.fields.set("host", this->authority);
    }
    if (this->content_length)
    {
        header.framing = http::body_framing::fixed;
        header.content_length = *this->content_length;
    }
    else if (has_body)
    {
        header.framing = http::body_framing::chunked;
    }
    return header;
}

std::optional<http::response_header> header_block::to_response(bool has_body, bool request_was_head) const
{
    constexpr std::uint64_t min_status = 100;
    constexpr std::uint64_t max_status = 599;
    constexpr std::uint64_t switching_protocols = 101;
    const auto number = parse_number(this->status);
    if (this->malformed || !number || *number < min_status || *number > max_status || *number == switching_protocols)
    {
        return std::nullopt;
    }
    http::response_header header{.status = static_cast<int>(*number), .fields = this->fields};
    if (this->content_length)
    {
        header.framing = http::body_framing::fixed;
        header.content_length = *this->content_length;
    }
    else if (has_body)
    {
        header.framing = http::body_framing::chunked;
    }
    else if (!request_was_head && !http::is_bodyless_status(header.status))
    {
        // An HTTP/1.1 response without a length would end only when the connection is closed.
        header.framing = http::body_framing::fixed;
    }
    return header;
}

std::vector<http::header_field> encode(const http::request_header& header)
{
    std::vector<http::header_field> list;
    list.push_back({":method", header.method});
    list.push_back({":scheme", "http"});
    http::header_fields fields = header.fields;
    if (const auto* const host = fields.find("Host"); host != nullptr && !host->empty())
    {
        list.push_back({":authority", *host});
    }
    list.push_back({":path", header.target});
    fields.erase("Host");
    append_fields(list, std::move(fields), header.framing, header.content_length);
    return list;
}

std::vector<http::header_field> encode(const http::response_header& header)
{
    std::vector<http::header_field> list;
    list.push_back({":status", std::to_string(header.status)});
    append_fields(list, header.fields, header.framing, header.content_length);
    return list;
}

std::vector<nghttp2_nv> to_native(const std::vector<http::header_field>& fields)
{
    // nghttp2 copies the strings and never writes to them; only its declaration lacks the const.
    const auto bytes = [](const std::string& text)
    {
        return const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(text.data()));
    };
    std::vector<nghttp2_nv> result;
    result.reserve(fields.size());
    for (const auto& field : fields)
    {
        result.push_back(
            {bytes(field.name), bytes(field.value), field.name.size(), field.value.size(), NGHTTP2_NV_FLAG_NONE});
    }
    return result;
}

} // namespace poplarport::peer::detail
