#include "poplarport/http/detail/message_parser.hpp"

#include <limits>   // numeric_limits
#include <optional> // optional
#include <ostream>  // ostream, which Boost's headers need complete
#include <utility>  // exchange, move

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "poplarport/http/errors.hpp"

namespace poplarport::http::detail
{

namespace
{

namespace beast = boost::beast;
using beast_error = beast::http::error;

/// @brief Parsed header section of a request or a response; the members of the other kind stay empty.
struct raw_header
{
    std::string method{};
    std::string target{};
    int status{0};
    std::string reason{};
    int version{0};
    header_fields fields{};
};

template <bool IsRequest>
class collecting_parser final : public beast::http::basic_parser<IsRequest>
{
  public:
    raw_header header{};
    std::string body{};

  private:
    void on_request_impl(beast::http::verb, beast::string_view method, beast::string_view target, int version,
                         beast::error_code&) override
    {
        this->header.method.assign(method.data(), method.size());
        this->header.target.assign(target.data(), target.size());
        this->header.version = version;
    }

    void on_response_impl(int code, beast::string_view reason, int version, beast::error_code&) override
    {
        this->header.status = code;
        this->header.reason.assign(reason.data(), reason.size());
        this->header.version = version;
    }

    void on_field_impl(beast::http::field, beast::string_view name, beast::string_view value,
                       beast::error_code&) override
    {
        this->header.fields.add({name.data(), name.size()}, {value.data(), value.size()});
    }

    void on_header_impl(beast::error_code&) override
    {
    }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, beast::error_code&) override
    {
    }

    std::size_t on_body_impl(beast::string_view bytes, beast::error_code&) override
    {
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code&) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view bytes, beast::error_code&) override
    {
        this->body.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(beast::error_code&) override
    {
    }
};

std::error_code translate(const beast::error_code& error)
{
    if (error == beast_error::header_limit)
    {
        return errc::header_too_large;
    }
    if (error == beast_error::bad_content_length || error == beast_error::bad_transfer_encoding)
    {
        return errc::ambiguous_length;
    }
    if (error == beast_error::bad_version)
    {
        return errc::unsupported_version;
    }
    return errc::malformed_message;
}

constexpr int http_1_0 = 10;
constexpr int http_1_1 = 11;

std::error_code check_framing(const raw_header& header)
{
    const auto codings = header.fields.count("Transfer-Encoding");
    if (codings != 0 && header.fields.count("Content-Length") != 0)
    {
        return errc::ambiguous_length;
    }
    if (header.fields.count("Content-Length") > 1 || codings > 1 || (codings == 1 && header.version != http_1_1))
    {
        return errc::ambiguous_length;
    }
    // RFC 9110 permits a list of equal lengths, but other parsers on the path may interpret it differently.
    const auto* const length = header.fields.find("Content-Length");
    if (length != nullptr && length->find_first_not_of("0123456789") != std::string::npos)
    {
        return errc::ambiguous_length;
    }
    if (codings == 1 && !equal_names(*header.fields.find("Transfer-Encoding"), "chunked"))
    {
        return errc::unsupported_transfer_coding;
    }
    return {};
}

std::error_code check_host(const raw_header& header)
{
    const auto hosts = header.fields.count("Host");
    const bool valid = hosts == 1 || (hosts == 0 && header.version != http_1_1);
    return valid ? std::error_code{} : errc::invalid_host;
}

} // namespace

struct message_parser::state
{
    kind expected;
    std::size_t header_limit_bytes;
    std::string input{};
    std::size_t parsed_bytes{0};
    std::optional<collecting_parser<true>> request_parser{};
    std::optional<collecting_parser<false>> response_parser{};
    request_header request{};
    response_header response{};
    bool header_complete{false};
    bool started{false};
    bool request_was_head{false};

    template <bool IsRequest>
    parse_step step(collecting_parser<IsRequest>& parser);

    template <bool IsRequest>
    std::error_code store_header(collecting_parser<IsRequest>& parser);

    template <bool IsRequest>
    void prepare(std::optional<collecting_parser<IsRequest>>& parser) const
    {
        parser.emplace();
        parser->header_limit(static_cast<std::uint32_t>(this->header_limit_bytes));
        // Boost 1.74 treats "no limit" as a limit of zero, so the limit is the maximum value.
        parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    // Beast reports a bare line feed in the first line as an unknown version.
    [[nodiscard]] bool starts_with_bare_line_feed() const
    {
        const auto position = this->input.find('\n', this->parsed_bytes);
        return position != std::string::npos && (position == this->parsed_bytes || this->input[position - 1] != '\r');
    }
};

template <bool IsRequest>
std::error_code message_parser::state::store_header(collecting_parser<IsRequest>& parser)
{
    if (const auto error = check_framing(parser.header))
    {
        return error;
    }
    const auto set_common_members = [&parser](auto& target)
    {
        target.fields = std::move(parser.header.fields);
        target.fields.erase("Content-Length");
        target.fields.erase("Transfer-Encoding");
        target.keep_alive = parser.keep_alive();
        const auto length = parser.content_length();
        target.content_length = length ? *length : 0;
        target.framing = parser.chunked() ? body_framing::chunked : length ? body_framing::fixed : body_framing::none;
    };
    if constexpr (IsRequest)
    {
        if (const auto error = check_host(parser.header))
        {
            return error;
        }
        this->request.method = std::move(parser.header.method);
        this->request.target = std::move(parser.header.target);
        this->request.minor_version = parser.header.version - http_1_0;
        set_common_members(this->request);
    }
    else
    {
        this->response.status = parser.header.status;
        this->response.reason = std::move(parser.header.reason);
        set_common_members(this->response);
        if (this->response.framing == body_framing::none && !this->request_was_head &&
            !is_bodyless_status(this->response.status))
        {
            this->response.framing = body_framing::until_close;
        }
    }
    return {};
}

template <bool IsRequest>
parse_step message_parser::state::step(collecting_parser<IsRequest>& parser)
{
    parse_step result;
    if (!parser.is_done())
    {
        beast::error_code error;
        const auto available = this->input.size() - this->parsed_bytes;
        std::size_t consumed = 0;
        if (available != 0)
        {
            this->started = true;
            consumed = parser.put(boost::asio::const_buffer{this->input.data() + this->parsed_bytes, available}, error);
            this->parsed_bytes += consumed;
        }
        if (this->parsed_bytes == this->input.size())
        {
            this->input.clear();
            this->parsed_bytes = 0;
        }
        if (error && error != beast_error::need_more)
        {
            result.error =
                this->starts_with_bare_line_feed() ? std::error_code{errc::malformed_message} : translate(error);
            return result;
        }
        result.needs_more = available == 0 || (error == beast_error::need_more && consumed == 0);
        // The parser waits for the end of a line or section. Its limit covers the header section only, not the lines
        // with the sizes of chunks and the trailer section.
        if (result.needs_more && available > this->header_limit_bytes)
        {
            result.error = errc::framing_too_large;
            return result;
        }
    }
    if (parser.is_header_done() && !this->header_complete)
    {
        this->header_complete = true;
        result.header_complete = true;
        result.error = this->store_header(parser);
    }
    result.body = std::exchange(parser.body, {});
    result.message_complete = parser.is_done();
    return result;
}

message_parser::message_parser(kind expected, std::size_t header_limit_bytes)
    : data(std::make_unique<state>(state{expected, header_limit_bytes}))
{
    this->start();
}

message_parser::~message_parser() = default;

void message_parser::start(bool request_was_head)
{
    this->data->header_complete = false;
    this->data->started = false;
    if (this->data->expected == kind::request)
    {
        this->data->request = {};
        this->data->prepare(this->data->request_parser);
        return;
    }
    this->data->response = {};
    this->data->request_was_head = request_was_head;
    this->data->prepare(this->data->response_parser);
    this->data->response_parser->skip(request_was_head);
}

void message_parser::append(std::string_view bytes)
{
    if (this->data->parsed_bytes != 0)
    {
        this->data->input.erase(0, this->data->parsed_bytes);
        this->data->parsed_bytes = 0;
    }
    this->data->input.append(bytes);
}

std::size_t message_parser::unparsed_bytes() const noexcept
{
    return this->data->input.size() - this->data->parsed_bytes;
}

parse_step message_parser::step()
{
    if (this->data->expected == kind::request)
    {
        return this->data->step(*this->data->request_parser);
    }
    return this->data->step(*this->data->response_parser);
}

std::error_code message_parser::finish()
{
    beast::error_code error;
    if (this->data->expected == kind::request)
    {
        this->data->request_parser->put_eof(error);
    }
    else
    {
        this->data->response_parser->put_eof(error);
    }
    return error ? std::error_code{errc::incomplete_message} : std::error_code{};
}

bool message_parser::has_started() const noexcept
{
    return this->data->started;
}

request_header& message_parser::request() noexcept
{
    return this->data->request;
}

response_header& message_parser::response() noexcept
{
    return this->data->response;
}

} // namespace poplarport::http::detail
