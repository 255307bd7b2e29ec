#pragma once

#include <string_view> // string_view
#include <variant>     // get, get_if

#include "fuzz_target.hpp"
#include "poplarport/http/header_fields.hpp"
#include "poplarport/peer/metadata_error.hpp"

namespace poplarport::fuzz
{

// Parses `name: value` lines without validating them.
inline http::header_fields parse_lines(std::string_view text)
{
    http::header_fields fields;
    while (!text.empty())
    {
        const auto end = text.find('\n');
        const auto line = text.substr(0, end);
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
        const auto colon = line.find(": ");
        if (colon != std::string_view::npos)
        {
            fields.add(line.substr(0, colon), line.substr(colon + 2));
        }
    }
    return fields;
}

// Checks that decoded metadata is equal after another encoding and decoding.
template <typename Metadata, typename Decoder>
void check_metadata(std::string_view text, Decoder decode)
{
    const auto decoded = decode(parse_lines(text));
    if (const auto* const error = std::get_if<peer::metadata_error>(&decoded))
    {
        require(error->code && !error->field.empty(), "an error names its field");
        return;
    }
    const auto& metadata = std::get<Metadata>(decoded);
    http::header_fields written;
    encode(metadata, written);
    require(std::get<Metadata>(decode(written)) == metadata, "decode(encode(x)) == x");
}

} // namespace poplarport::fuzz
