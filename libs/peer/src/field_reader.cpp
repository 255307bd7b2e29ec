#include "poplarport/peer/detail/field_reader.hpp"

#include <algorithm> // ranges::all_of
#include <array>     // array
#include <charconv>  // from_chars

#include "poplarport/peer/errors.hpp"

namespace poplarport::peer
{

void remove_metadata(http::header_fields& fields)
{
    namespace names = detail::field_name;
    for (const auto name : {names::request_id, names::time_left, names::target_left, names::sent_at, names::attempt,
                            names::depth, names::tenant, names::traffic_class, names::config_version, names::outcome,
                            names::code, names::load, names::better})
    {
        fields.erase(name);
    }
}

namespace detail
{

std::optional<std::uint64_t> parse_decimal(std::string_view text) noexcept
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

bool is_name(std::string_view text) noexcept
{
    const auto is_visible = [](char character)
    {
        return character > ' ' && character <= '~';
    };
    return !text.empty() && text.size() <= max_name_length && std::ranges::all_of(text, is_visible);
}

field_reader::field_reader(const http::header_fields& source) noexcept : fields(&source)
{
}

std::optional<std::string_view> field_reader::optional_text(std::string_view name)
{
    const auto* const value = this->fields->find(name);
    if (value == nullptr)
    {
        return std::nullopt;
    }
    if (this->fields->count(name) > 1)
    {
        this->fail(name, errc::repeated_field);
        return std::nullopt;
    }
    return *value;
}

std::string_view field_reader::text(std::string_view name)
{
    const auto value = this->optional_text(name);
    if (!value)
    {
        this->fail(name, errc::missing_field);
    }
    return value.value_or(std::string_view{});
}

std::string_view field_reader::name(std::string_view field)
{
    const auto value = this->text(field);
    if (value.size() > max_name_length)
    {
        this->fail(field, errc::field_out_of_range);
        return {};
    }
    if (!is_name(value))
    {
        this->fail(field, errc::malformed_field);
        return {};
    }
    return value;
}

std::uint64_t field_reader::number(std::string_view field, std::uint64_t min, std::uint64_t max)
{
    const auto value = this->list_number(field, this->text(field), max);
    if (value < min)
    {
        this->fail(field, errc::field_out_of_range);
        return min;
    }
    return value;
}

std::uint64_t field_reader::list_number(std::string_view field, std::string_view value, std::uint64_t max)
{
    const auto parsed = parse_decimal(value);
    if (!parsed)
    {
        this->fail(field, errc::malformed_field);
        return 0;
    }
    if (*parsed > max)
    {
        this->fail(field, errc::field_out_of_range);
        return 0;
    }
    return *parsed;
}

void field_reader::fail(std::string_view field, std::error_code code) noexcept
{
    if (!this->first_error)
    {
        this->first_error = metadata_error{code, field};
    }
}

const std::optional<metadata_error>& field_reader::error() const noexcept
{
    return this->first_error;
}

} // namespace detail

} // namespace poplarport::peer
