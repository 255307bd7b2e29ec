#include "poplarport/membership/message.hpp"

namespace poplarport::membership
{

namespace
{

// Nine numbers of up to nine bytes each, fifteen keys of up to three bytes, and the CBOR heads of strings and maps.
constexpr std::size_t entry_overhead_bytes = 128;
constexpr std::size_t message_overhead_bytes = 48;

std::size_t size_of(const message_header& header) noexcept
{
    return message_overhead_bytes + header.service.size() + estimated_size(header.sender);
}

std::size_t size_of(const std::vector<member_entry>& entries) noexcept
{
    std::size_t total_bytes = 0;
    for (const member_entry& each : entries)
    {
        total_bytes += estimated_size(each.member);
    }
    return total_bytes;
}

std::size_t body_size(const ping& content) noexcept
{
    return content.target.size() + size_of(content.gossip);
}

std::size_t body_size(const ack& content) noexcept
{
    return size_of(content.gossip);
}

std::size_t body_size(const indirect_ping& content) noexcept
{
    return content.target.size() + content.target_address.host.size() + size_of(content.gossip);
}

std::size_t size_of(const std::vector<std::uint32_t>& hashes) noexcept
{
    constexpr std::size_t hash_bytes = 5;
    return hashes.size() * hash_bytes;
}

std::size_t body_size(const sync_request& content) noexcept
{
    return size_of(content.parts);
}

std::size_t body_size(const member_updates& content) noexcept
{
    return size_of(content.entries) + size_of(content.parts);
}

} // namespace

std::size_t estimated_size(const member& content) noexcept
{
    return entry_overhead_bytes + content.id.size() + content.availability_zone.size() +
           content.peer_address.host.size() + content.http_address.host.size() + content.service.size() +
           content.deregistered_instance.size();
}

std::size_t estimated_size(const message& content) noexcept
{
    return std::visit([](const auto& kind) { return size_of(kind.header) + body_size(kind); }, content);
}

} // namespace poplarport::membership
