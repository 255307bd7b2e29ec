#pragma once

#include <string_view> // string_view

#include "poplarport/http/header_fields.hpp"

namespace poplarport::fuzz
{

// Reads `name: value` lines, without any check of the texts.
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

} // namespace poplarport::fuzz
