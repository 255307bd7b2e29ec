#include "poplarport/http/header_fields.hpp"

#include <algorithm> // equal, find_if, count_if

namespace poplarport::http
{

namespace
{

constexpr char to_lower(char letter) noexcept
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view trim(std::string_view text) noexcept
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

bool equal_names(std::string_view left, std::string_view right) noexcept
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char first, char second) { return to_lower(first) == to_lower(second); });
}

void header_fields::add(std::string_view name, std::string_view value)
{
    this->fields.push_back({std::string{name}, std::string{value}});
}

void header_fields::set(std::string_view name, std::string_view value)
{
    this->erase(name);
    this->add(name, value);
}

std::size_t header_fields::erase(std::string_view name)
{
    return std::erase_if(this->fields, [name](const header_field& field) { return equal_names(field.name, name); });
}

const std::string* header_fields::find(std::string_view name) const noexcept
{
    const auto position =
        std::ranges::find_if(this->fields, [name](const header_field& field) { return equal_names(field.name, name); });
    return position == this->fields.end() ? nullptr : &position->value;
}

std::size_t header_fields::count(std::string_view name) const noexcept
{
    return static_cast<std::size_t>(std::ranges::count_if(this->fields, [name](const header_field& field)
                                                          { return equal_names(field.name, name); }));
}

bool header_fields::contains_token(std::string_view name, std::string_view token) const noexcept
{
    for (const auto& field : this->fields)
    {
        if (!equal_names(field.name, name))
        {
            continue;
        }
        std::string_view rest = field.value;
        while (!rest.empty())
        {
            const auto comma = rest.find(',');
            if (equal_names(trim(rest.substr(0, comma)), token))
            {
                return true;
            }
            rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
        }
    }
    return false;
}

} // namespace poplarport::http
