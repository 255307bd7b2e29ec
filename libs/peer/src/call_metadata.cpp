#include "poplarport/peer/call_metadata.hpp"

#include <limits> // numeric_limits
#include <string> // to_string

#include "poplarport/peer/detail/field_reader.hpp"

namespace poplarport::peer
{

namespace
{

constexpr std::uint64_t max_time_left_us = std::uint64_t{24} * 3600 * 1'000'000;

// The maximum time that can be converted to the nanoseconds of the monotonic clock.
constexpr std::uint64_t max_clock_us = std::numeric_limits<std::int64_t>::max() / 1000;

constexpr std::uint64_t max_attempt = 1000;
constexpr std::uint64_t max_depth = 100;

std::chrono::microseconds to_microseconds(std::uint64_t count)
{
    return std::chrono::microseconds{static_cast<std::int64_t>(count)};
}

} // namespace

void encode(const call_metadata& metadata, http::header_fields& fields)
{
    namespace names = detail::field_name;
    fields.set(names::request_id, metadata.request_id);
    fields.set(names::time_left, std::to_string(metadata.time_left.count()));
    fields.set(names::sent_at, std::to_string(metadata.sent_at.count()));
    fields.set(names::attempt, std::to_string(metadata.attempt));
    fields.set(names::depth, std::to_string(metadata.depth));
    fields.set(names::tenant, metadata.tenant);
    fields.set(names::traffic_class, metadata.traffic_class);
    fields.set(names::config_version, std::to_string(metadata.config_version));
    fields.erase(names::target_left);
    if (metadata.target_left)
    {
        fields.add(names::target_left, std::to_string(metadata.target_left->count()));
    }
}

call_metadata_result decode_call_metadata(const http::header_fields& fields)
{
    namespace names = detail::field_name;
    detail::field_reader reader{fields};
    call_metadata metadata;
    metadata.request_id = reader.name(names::request_id);
    metadata.time_left = to_microseconds(reader.number(names::time_left, 0, max_time_left_us));
    metadata.sent_at = to_microseconds(reader.number(names::sent_at, 0, max_clock_us));
    metadata.attempt = static_cast<std::uint32_t>(reader.number(names::attempt, 1, max_attempt));
    metadata.depth = static_cast<std::uint32_t>(reader.number(names::depth, 0, max_depth));
    metadata.tenant = reader.name(names::tenant);
    metadata.traffic_class = reader.name(names::traffic_class);
    metadata.config_version = reader.number(names::config_version, 0, std::numeric_limits<core::version>::max());
    if (fields.find(names::target_left) != nullptr)
    {
        metadata.target_left = to_microseconds(reader.number(names::target_left, 0, max_time_left_us));
    }
    if (reader.error())
    {
        return *reader.error();
    }
    return metadata;
}

} // namespace poplarport::peer
