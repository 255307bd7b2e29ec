#include "poplarport/wire/member_list.hpp"

#include <limits> // numeric_limits

#include "poplarport/wire/detail/cbor_value.hpp"
#include "poplarport/wire/detail/member_codec.hpp"
#include "poplarport/wire/detail/value_reader.hpp"
#include "poplarport/wire/errors.hpp"

namespace poplarport::wire
{

std::string encode(const membership::list_response& list)
{
    const nlohmann::json value{{"k", list.hash}, {"u", list.unchanged}, {"m", detail::encode_entries(list.entries)}};
    const auto bytes = nlohmann::json::to_cbor(value);
    return {bytes.begin(), bytes.end()};
}

std::optional<membership::list_response> decode_list(std::string_view bytes, std::error_code& error)
{
    error.clear();
    const auto value = detail::parse_cbor(bytes);
    detail::value_reader reader{value, error};
    membership::list_response list;
    list.hash = reader.number("k", std::numeric_limits<std::uint64_t>::max());
    list.unchanged = reader.boolean("u");
    list.entries = detail::decode_entries(reader.array("m", detail::max_list_length), error);
    if (error)
    {
        return std::nullopt;
    }
    return list;
}

} // namespace poplarport::wire
