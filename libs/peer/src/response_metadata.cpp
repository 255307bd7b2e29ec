#include "poplarport/peer/response_metadata.hpp"

#include <algorithm>   // count
#include <array>       // array
#include <cstdint>     // uint32_t, uint64_t
#include <limits>      // numeric_limits
#include <string>      // string, to_string
#include <string_view> // string_view

#include "poplarport/peer/detail/field_reader.hpp"
#include "poplarport/peer/errors.hpp"

namespace poplarport::peer
{

namespace
{

constexpr std::uint64_t max_code = 9999;
constexpr std::uint64_t max_count = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t max_service_time_us = std::uint64_t{3600} * 1'000'000;
constexpr std::size_t max_better_ids = 8;

std::string_view take_element(std::string_view& list) noexcept
{
    const auto comma = list.find(',');
    const auto element = list.substr(0, comma);
    list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    return element;
}

std::string encode_load(const core::load_report& load)
{
    return std::to_string(load.slots) + "," + std::to_string(load.in_flight) + "," + std::to_string(load.queued) + "," +
           std::to_string(load.service_time.count()) + (load.draining ? ",1," : ",0,") +
           std::to_string(load.slowdown_percent);
}

core::load_report decode_load(detail::field_reader& reader)
{
    constexpr auto field = detail::field_name::load;
    constexpr std::array<std::uint64_t, 6> bounds{max_count, max_count, max_count, max_service_time_us, 1, max_count};
    std::string_view list = reader.text(field);
    if (std::ranges::count(list, ',') != static_cast<std::ptrdiff_t>(bounds.size()) - 1)
    {
        reader.fail(field, errc::malformed_field);
        return {};
    }
    std::array<std::uint64_t, bounds.size()> numbers{};
    for (std::size_t index = 0; index < numbers.size(); ++index)
    {
        numbers[index] = reader.list_number(field, take_element(list), bounds[index]);
    }
    return {.slots = static_cast<std::uint32_t>(numbers[0]),
            .in_flight = static_cast<std::uint32_t>(numbers[1]),
            .queued = static_cast<std::uint32_t>(numbers[2]),
            .service_time = std::chrono::microseconds{static_cast<std::int64_t>(numbers[3])},
            .draining = numbers[4] == 1,
            .slowdown_percent = static_cast<std::uint32_t>(numbers[5])};
}

std::vector<core::node_id> decode_better(detail::field_reader& reader)
{
    constexpr auto field = detail::field_name::better;
    std::vector<core::node_id> ids;
    const auto value = reader.optional_text(field);
    if (!value)
    {
        return ids;
    }
    if (std::ranges::count(*value, ',') >= static_cast<std::ptrdiff_t>(max_better_ids))
    {
        reader.fail(field, errc::field_out_of_range);
        return ids;
    }
    std::string_view list = *value;
    do
    {
        const auto id = take_element(list);
        if (!detail::is_name(id))
        {
            reader.fail(field, errc::malformed_field);
        }
        ids.emplace_back(id);
    } while (!list.empty());
    if (value->ends_with(','))
    {
        reader.fail(field, errc::malformed_field);
    }
    return ids;
}

} // namespace

void encode(const response_metadata& metadata, http::header_fields& fields)
{
    namespace names = detail::field_name;
    fields.set(names::outcome, core::to_string(metadata.result));
    fields.set(names::code, std::to_string(metadata.code));
    fields.set(names::load, encode_load(metadata.load));
    fields.set(names::config_version, std::to_string(metadata.config_version));
    fields.erase(names::better);
    std::string list;
    for (const auto& id : metadata.better_peers)
    {
        list.append(list.empty() ? "" : ",").append(id);
    }
    if (!list.empty())
    {
        fields.add(names::better, list);
    }
}

response_metadata_result decode_response_metadata(const http::header_fields& fields)
{
    namespace names = detail::field_name;
    detail::field_reader reader{fields};
    response_metadata metadata;
    const auto outcome = core::outcome_from_string(reader.text(names::outcome));
    if (!outcome)
    {
        reader.fail(names::outcome, errc::malformed_field);
    }
    metadata.result = outcome.value_or(core::outcome::unknown);
    metadata.code = static_cast<int>(reader.number(names::code, 0, max_code));
    metadata.load = decode_load(reader);
    metadata.config_version = reader.number(names::config_version, 0, std::numeric_limits<core::version>::max());
    metadata.better_peers = decode_better(reader);
    if (reader.error())
    {
        return *reader.error();
    }
    return metadata;
}

} // namespace poplarport::peer
