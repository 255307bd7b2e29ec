#include "poplarport/membership/message.hpp"

namespace poplarport::membership
{

namespace
{

// Nine numbers of up to nine bytes each and fifteen keys of up to three bytes, with the heads of strings and maps.
constexpr std::size_t entry_overhead_bytes = 128;
constexpr std::size_t message_overhead_bytes = 48;

std::size_t size_of(const message_header& header) noexcept
{
    return message_overhead_bytes + header.service.size() + estimated_size(header.sender);
}

std::size_t size_of(const std::vector<member_entry>& entries) noexcept
{
    std::size_t sum = 0;
    for (const member_entry& each : entries)
    {
        sum += estimated_size(each.member);
    }
    return sum;
}

std::size_t body_size(const ping& value) noexcept
{
    return value.target.size() + size_of(value.gossip);
}

std::size_t body_size(const ack& value) noexcept
{
    return size_of(value.gossip);
}

std::size_t body_size(const indirect_ping& value) noexcept
{
    return value.target.size() + value.target_address.host.size() + size_of(value.gossip);
}

std::size_t body_size(const sync_request& /*value*/) noexcept
{
    return 0;
}

std::size_t body_size(const member_updates& value) noexcept
{
    return size_of(value.entries);
}

} // namespace

std::size_t estimated_size(const member& value) noexcept
{
    return entry_overhead_bytes + value.id.size() + value.availability_zone.size() + value.peer_address.host.size() +
           value.http_address.host.size() + value.service.size() + value.deregistered_instance.size();
}

std::size_t estimated_size(const message& value) noexcept
{
    return std::visit([](const auto& kind) { return size_of(kind.header) + body_size(kind); }, value);
}

} // namespace poplarport::membership
