#include "fuzz_target.hpp"

#include <algorithm> // min
#include <string>    // string

#include "poplarport/http/detail/message_parser.hpp"

using namespace poplarport;

namespace
{

constexpr std::size_t header_limit_bytes = 1024;

// The parser output that must not depend on how the input was split.
struct transcript
{
    std::string text{};
    std::error_code error{};
    std::size_t messages{0};
};

void append_header(transcript& result, http::detail::message_parser& parser, bool is_request)
{
    result.text += is_request ? serialize(parser.request()) : serialize(parser.response());
}

// Parses all appended bytes. Returns whether the parser can use more.
bool parse(transcript& result, http::detail::message_parser& parser, bool is_request)
{
    while (true)
    {
        const auto unused = parser.unparsed_bytes();
        const auto step = parser.step();
        if (step.error)
        {
            result.error = step.error;
            return false;
        }
        if (step.header_complete)
        {
            append_header(result, parser, is_request);
        }
        result.text += step.body;
        if (step.message_complete)
        {
            result.text += "|";
            ++result.messages;
            parser.start();
            continue;
        }
        if (step.needs_more)
        {
            return true;
        }
        fuzz::require(step.header_complete || !step.body.empty() || parser.unparsed_bytes() < unused,
                      "each step makes progress");
    }
}

transcript parse_in_pieces(std::string_view bytes, std::size_t piece_bytes, bool is_request)
{
    using http::detail::message_parser;
    message_parser parser{is_request ? message_parser::kind::request : message_parser::kind::response,
                          header_limit_bytes};
    parser.start();
    transcript result;
    bool wants_more = true;
    while (wants_more && !bytes.empty())
    {
        const auto piece_length = std::min(piece_bytes, bytes.size());
        parser.append(bytes.substr(0, piece_length));
        bytes.remove_prefix(piece_length);
        wants_more = parse(result, parser, is_request);
    }
    if (wants_more)
    {
        result.error = parser.finish();
    }
    return result;
}

} // namespace

// The meaning of a message must not depend on how the network split it, and each parser step has to make progress.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size < 2)
    {
        return 0;
    }
    const bool is_request = (data[0] & 1U) == 0;
    const std::size_t piece_bytes = 1 + data[1] % 64;
    const auto bytes = fuzz::to_text(data + 2, size - 2);
    const auto whole = parse_in_pieces(bytes, bytes.size() + 1, is_request);
    const auto cut = parse_in_pieces(bytes, piece_bytes, is_request);
    fuzz::require(whole.messages == cut.messages, "the number of messages does not depend on the pieces");
    fuzz::require(static_cast<bool>(whole.error) == static_cast<bool>(cut.error),
                  "acceptance does not depend on the pieces");
    fuzz::require(whole.error || whole.text == cut.text, "headers and bodies do not depend on the pieces");
    return 0;
}
