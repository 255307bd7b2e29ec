#include "poplarport/control/message.hpp"

#include <algorithm> // ranges::find, ranges::find_if
#include <charconv>  // from_chars

#include "poplarport/http/header_fields.hpp"

namespace poplarport::control
{

std::optional<std::string_view> request::parameter(std::string_view name) const noexcept
{
    const auto found = std::ranges::find(this->query, name, &query_parameter::name);
    return found == this->query.end() ? std::nullopt : std::optional<std::string_view>{found->value};
}

std::optional<std::string_view> request::header(std::string_view name) const noexcept
{
    const auto found = std::ranges::find(this->headers, name, &header_field::name);
    return found == this->headers.end() ? std::nullopt : std::optional<std::string_view>{found->value};
}

std::optional<std::string_view> response::header(std::string_view name) const noexcept
{
    const auto found = std::ranges::find_if(this->headers, [name](const header_field& field)
                                            { return http::equal_names(field.name, name); });
    return found == this->headers.end() ? std::nullopt : std::optional<std::string_view>{found->value};
}

std::string percent_encode(std::string_view text)
{
    constexpr std::string_view unreserved = "-._~/";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char character : text)
    {
        const auto byte = static_cast<unsigned char>(character);
        const bool is_unreserved = (character >= '0' && character <= '9') || (character >= 'A' && character <= 'Z') ||
                                   (character >= 'a' && character <= 'z') ||
                                   unreserved.find(character) != std::string_view::npos;
        if (is_unreserved)
        {
            result += character;
            continue;
        }
        result += '%';
        result += digits[byte >> 4U];
        result += digits[byte & 0xfU];
    }
    return result;
}

std::string percent_decode(std::string_view text)
{
    constexpr std::size_t escape_letters = 3;
    constexpr int base = 16;
    std::string result;
    while (!text.empty())
    {
        unsigned char byte = 0;
        const char* const first_digit = text.data() + 1;
        const bool is_escape = text.front() == '%' && text.size() >= escape_letters &&
                               std::from_chars(first_digit, first_digit + 2, byte, base).ptr == first_digit + 2;
        result += is_escape ? static_cast<char>(byte) : text.front();
        text.remove_prefix(is_escape ? escape_letters : 1);
    }
    return result;
}

} // namespace poplarport::control
