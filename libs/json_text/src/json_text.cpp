#include "poplarport/json_text/json_text.hpp"

#include <algorithm> // max, min, ranges::find
#include <utility>   // move

namespace poplarport::json_text
{

namespace
{

constexpr std::string_view white_space = " \t\r\n";

void skip_white_space(std::string_view& rest) noexcept
{
    rest.remove_prefix(std::min(rest.find_first_not_of(white_space), rest.size()));
}

// Removes a character from the input if it is next.
bool consume(std::string_view& rest, char expected) noexcept
{
    skip_white_space(rest);
    if (!rest.starts_with(expected))
    {
        return false;
    }
    rest.remove_prefix(1);
    return true;
}

// Returns the length of the string with its quotation marks at the start of the text, or nothing if it does not end.
std::optional<std::size_t> string_length(std::string_view text) noexcept
{
    for (std::size_t position = 1; position < text.size(); ++position)
    {
        if (text[position] == '\\')
        {
            ++position;
        }
        else if (text[position] == '"')
        {
            return position + 1;
        }
    }
    return std::nullopt;
}

// Walks over a value, in which the numbers of opening and closing brackets are equal at the end.
class value_scanner
{
  public:
    explicit value_scanner(std::string_view scanned) noexcept : text(scanned)
    {
    }

    // Returns the length of the value at the start of the text, or nothing if it does not end.
    std::optional<std::size_t> length() noexcept
    {
        std::size_t position = 0;
        while (position < this->text.size())
        {
            const char letter = this->text[position];
            const bool ends_value = letter == ',' || letter == ']' || letter == '}';
            if (this->depth == 0 && ends_value)
            {
                return position;
            }
            if (letter == '"')
            {
                const auto string = string_length(this->text.substr(position));
                if (!string)
                {
                    return std::nullopt;
                }
                position += *string;
                continue;
            }
            this->count(letter);
            ++position;
        }
        return this->depth == 0 ? std::optional{position} : std::nullopt;
    }

    [[nodiscard]] std::size_t greatest_depth() const noexcept
    {
        return this->max_depth;
    }

  private:
    void count(char letter) noexcept
    {
        if (letter == '[' || letter == '{')
        {
            ++this->depth;
            this->max_depth = std::max(this->max_depth, this->depth);
        }
        else if (letter == ']' || letter == '}')
        {
            --this->depth;
        }
    }

    std::string_view text;
    std::size_t depth{0};
    std::size_t max_depth{0};
};

// Removes a value from the input, without the white space around it; returns nothing if there is none.
std::optional<std::string_view> take_value(std::string_view& rest) noexcept
{
    skip_white_space(rest);
    const auto length = value_scanner{rest}.length();
    if (!length)
    {
        return std::nullopt;
    }
    auto value = rest.substr(0, *length);
    rest.remove_prefix(*length);
    value = value.substr(0, value.find_last_not_of(white_space) + 1);
    return value.empty() ? std::nullopt : std::optional{value};
}

std::optional<std::string_view> take_key(std::string_view& rest) noexcept
{
    skip_white_space(rest);
    const auto length = rest.starts_with('"') ? string_length(rest) : std::nullopt;
    if (!length)
    {
        return std::nullopt;
    }
    const auto key = rest.substr(1, *length - 2);
    rest.remove_prefix(*length);
    return consume(rest, ':') ? std::optional{key} : std::nullopt;
}

// Splits the text between two brackets at its commas; `take` removes one part from the input and returns it.
template <typename part_type, typename take_function>
std::optional<std::vector<part_type>> split(std::string_view text, char open, char close, take_function take)
{
    std::vector<part_type> result;
    if (!consume(text, open))
    {
        return std::nullopt;
    }
    bool is_complete = consume(text, close);
    while (!is_complete)
    {
        auto part = take(text);
        if (!part)
        {
            return std::nullopt;
        }
        result.push_back(*part);
        is_complete = consume(text, close);
        if (!is_complete && !consume(text, ','))
        {
            return std::nullopt;
        }
    }
    skip_white_space(text);
    return text.empty() ? std::optional{std::move(result)} : std::nullopt;
}

std::optional<member> take_member(std::string_view& rest) noexcept
{
    const auto key = take_key(rest);
    const auto value = key ? take_value(rest) : std::nullopt;
    return value ? std::optional{member{*key, *value}} : std::nullopt;
}

} // namespace

nlohmann::json parse(std::string_view text)
{
    value_scanner scanner{text};
    static_cast<void>(scanner.length());
    return scanner.greatest_depth() > max_nesting ? nlohmann::json(nlohmann::json::value_t::discarded)
                                                  : nlohmann::json::parse(text, nullptr, false);
}

std::string dump(const nlohmann::json& value, int indent)
{
    return value.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<std::vector<member>> split_object(std::string_view text)
{
    return split<member>(text, '{', '}', take_member);
}

std::optional<std::vector<std::string_view>> split_array(std::string_view text)
{
    return split<std::string_view>(text, '[', ']', take_value);
}

std::string_view find(const std::vector<member>& members, std::string_view key) noexcept
{
    const auto found = std::ranges::find(members, key, &member::key);
    return found == members.end() ? std::string_view{} : found->value;
}

} // namespace poplarport::json_text
