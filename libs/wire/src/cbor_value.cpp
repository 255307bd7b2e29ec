#include "poplarport/wire/detail/cbor_value.hpp"

#include <array>    // array
#include <cstddef>  // size_t
#include <cstdint>  // uint8_t, uint64_t
#include <optional> // optional

namespace poplarport::wire::detail
{

namespace
{

// The messages have three levels of nesting; the remaining levels are reserved for fields of later versions.
constexpr std::size_t max_nesting = 16;

// Major types of RFC 8949, section 3.1.
enum class major_type : std::uint8_t
{
    unsigned_number = 0,
    negative_number = 1,
    bytes = 2,
    text = 3,
    array = 4,
    map = 5,
    tag = 6,
    simple = 7
};

struct item_head
{
    major_type type;
    std::uint64_t argument;
};

// Removes the head of an item from the input; returns nothing if it is malformed or has an indefinite length.
std::optional<item_head> read_head(std::string_view& input) noexcept
{
    constexpr unsigned int first_long_argument = 24;
    constexpr unsigned int last_long_argument = 27;
    constexpr unsigned int argument_mask = 31;
    constexpr unsigned int type_shift = 5;
    if (input.empty())
    {
        return std::nullopt;
    }
    const auto first = static_cast<std::uint8_t>(input.front());
    input.remove_prefix(1);
    const auto type = static_cast<major_type>(first >> type_shift);
    const unsigned int short_argument = first & argument_mask;
    if (short_argument < first_long_argument)
    {
        return item_head{type, short_argument};
    }
    const std::size_t length = std::size_t{1} << (short_argument - first_long_argument);
    if (short_argument > last_long_argument || input.size() < length)
    {
        return std::nullopt;
    }
    std::uint64_t argument = 0;
    for (const char byte : input.substr(0, length))
    {
        argument = argument << 8U | static_cast<std::uint8_t>(byte);
    }
    input.remove_prefix(length);
    return item_head{type, argument};
}

} // namespace

bool has_bounded_structure(std::string_view bytes) noexcept
{
    // Number of items that are still expected on each level of nesting.
    std::array<std::uint64_t, max_nesting + 1> remaining_items{1};
    std::size_t level = 0;
    while (true)
    {
        while (remaining_items[level] == 0)
        {
            if (level == 0)
            {
                return bytes.empty();
            }
            --level;
        }
        --remaining_items[level];
        const auto head = read_head(bytes);
        if (!head || head->type == major_type::tag)
        {
            return false;
        }
        if (head->type == major_type::bytes || head->type == major_type::text)
        {
            if (head->argument > bytes.size())
            {
                return false;
            }
            bytes.remove_prefix(head->argument);
        }
        if (head->type == major_type::array || head->type == major_type::map)
        {
            // Each item takes at least one byte, so a count above the remaining size cannot be valid.
            if (head->argument > bytes.size() || level == max_nesting)
            {
                return false;
            }
            ++level;
            remaining_items[level] = head->type == major_type::map ? 2 * head->argument : head->argument;
        }
    }
}

nlohmann::json parse_cbor(std::string_view bytes)
{
    if (!has_bounded_structure(bytes))
    {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::from_cbor(bytes, true, false);
}

} // namespace poplarport::wire::detail
