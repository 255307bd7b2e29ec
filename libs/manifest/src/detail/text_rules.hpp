#pragma once

#include <algorithm>   // ranges::all_of
#include <string_view> // string_view

#include "poplarport/manifest/credential.hpp"
#include "poplarport/settings/rules.hpp"

namespace poplarport::manifest::detail
{

[[nodiscard]] constexpr bool is_lowercase_or_digit(char character) noexcept
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9');
}

/// @return whether a text is a valid name: lower-case letters, digits and inner hyphens, beginning with a letter
[[nodiscard]] inline bool is_name(std::string_view text) noexcept
{
    constexpr std::size_t max_name_length = 63;
    return !text.empty() && text.size() <= max_name_length && text.front() >= 'a' && text.front() <= 'z' &&
           text.back() != '-' &&
           std::ranges::all_of(text,
                               [](char character) { return is_lowercase_or_digit(character) || character == '-'; });
}

[[nodiscard]] inline bool is_host(std::string_view text) noexcept
{
    constexpr std::size_t max_host_length = 253;
    return !text.empty() && text.size() <= max_host_length &&
           std::ranges::all_of(text, [](char character)
                               { return is_lowercase_or_digit(character) || character == '-' || character == '.'; });
}

[[nodiscard]] inline bool is_path_prefix(std::string_view text) noexcept
{
    static constexpr std::string_view excluded = "?#%\\";
    const auto is_allowed = [](char character)
    {
        return character > ' ' && character <= '~' && excluded.find(character) == std::string_view::npos;
    };
    return text == "/" || (text.starts_with('/') && !text.ends_with('/') && text.find("//") == std::string_view::npos &&
                           text.find("/.") == std::string_view::npos && std::ranges::all_of(text, is_allowed));
}

[[nodiscard]] inline bool is_method(std::string_view text) noexcept
{
    return !text.empty() &&
           std::ranges::all_of(text, [](char character) { return character >= 'A' && character <= 'Z'; });
}

[[nodiscard]] inline bool is_header_name(std::string_view text) noexcept
{
    const auto is_allowed = [](char character)
    {
        return is_lowercase_or_digit(character) || (character >= 'A' && character <= 'Z') || character == '-';
    };
    return !text.empty() && std::ranges::all_of(text, is_allowed);
}

[[nodiscard]] inline bool is_header_value(std::string_view text) noexcept
{
    return !text.empty() &&
           std::ranges::all_of(text, [](char character) { return character >= ' ' && character <= '~'; });
}

[[nodiscard]] inline settings::text_rule name_rule()
{
    return {"a name of up to 63 lower-case letters, digits and inner hyphens that begins with a letter", is_name};
}

[[nodiscard]] inline settings::text_rule host_rule()
{
    return {"a host name in lower case without a port", is_host};
}

[[nodiscard]] inline settings::text_rule path_prefix_rule()
{
    return {"a path that begins with / and does not end with it, without empty or dot segments, query or escapes",
            is_path_prefix};
}

[[nodiscard]] inline settings::text_rule method_rule()
{
    return {"an HTTP method in upper case", is_method};
}

[[nodiscard]] inline settings::text_rule header_name_rule()
{
    return {"the name of a header field", is_header_name};
}

[[nodiscard]] inline settings::text_rule header_value_rule()
{
    return {"printable ASCII characters", is_header_value};
}

[[nodiscard]] inline settings::text_rule credential_rule()
{
    return {"a hash made by `poplarctl hash-secret`", [](std::string_view text)
            {
                return parse_credential_hash(text).has_value();
            }};
}

/// @brief Makes a text optional: an absent key is read as an empty string.
[[nodiscard]] inline settings::text_rule optional(settings::text_rule rule)
{
    rule.fallback = "";
    return rule;
}

} // namespace poplarport::manifest::detail
