#include "poplarport/wire/detail/value_reader.hpp"

#include "poplarport/wire/errors.hpp"

namespace poplarport::wire::detail
{

namespace
{

// Covers an IPv6 address with brackets and port.
constexpr std::size_t max_address_length = 64;

const nlohmann::json null_value{};
const nlohmann::json empty_array = nlohmann::json::array();

} // namespace

value_reader::value_reader(const nlohmann::json& map, std::error_code& error) : cbor_map(&map), first_error(&error)
{
    if (!map.is_object())
    {
        this->fail(errc::malformed);
    }
}

std::uint64_t value_reader::number(const char* key, std::uint64_t max)
{
    const auto& found = this->value(key);
    if (!found.is_number_unsigned())
    {
        this->fail(errc::malformed);
        return 0;
    }
    const auto number = found.get<std::uint64_t>();
    if (number > max)
    {
        this->fail(errc::out_of_bounds);
        return 0;
    }
    return number;
}

std::string value_reader::text(const char* key, std::size_t min, std::size_t max)
{
    const auto& found = this->value(key);
    if (!found.is_string())
    {
        this->fail(errc::malformed);
        return {};
    }
    const auto& text = found.get_ref<const std::string&>();
    if (text.size() < min || text.size() > max)
    {
        this->fail(errc::out_of_bounds);
        return {};
    }
    return text;
}

bool value_reader::has(const char* key) const
{
    return this->cbor_map->is_object() && this->cbor_map->contains(key);
}

bool value_reader::boolean(const char* key)
{
    const auto& found = this->value(key);
    if (!found.is_boolean())
    {
        this->fail(errc::malformed);
        return false;
    }
    return found.get<bool>();
}

core::socket_address value_reader::address(const char* key)
{
    const auto address = core::parse_socket_address(this->text(key, 1, max_address_length));
    if (!address)
    {
        this->fail(errc::malformed);
        return {};
    }
    return *address;
}

const nlohmann::json& value_reader::array(const char* key, std::size_t max)
{
    const auto& found = this->value(key);
    if (!found.is_array())
    {
        this->fail(errc::malformed);
        return empty_array;
    }
    if (found.size() > max)
    {
        this->fail(errc::out_of_bounds);
        return empty_array;
    }
    return found;
}

const nlohmann::json& value_reader::value(const char* key)
{
    if (!this->cbor_map->is_object())
    {
        return null_value;
    }
    const auto position = this->cbor_map->find(key);
    return position == this->cbor_map->end() ? null_value : *position;
}

void value_reader::fail(std::error_code reason)
{
    if (!*this->first_error)
    {
        *this->first_error = reason;
    }
}

} // namespace poplarport::wire::detail
