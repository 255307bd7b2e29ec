#include "poplarport/wire/detail/member_codec.hpp"

#include <chrono>  // milliseconds
#include <limits>  // numeric_limits
#include <utility> // move

#include "poplarport/wire/detail/value_reader.hpp"

namespace poplarport::wire::detail
{

namespace
{

constexpr std::size_t max_name_length = 128;
constexpr std::uint64_t max_number = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t max_revision = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t max_state = static_cast<std::uint64_t>(membership::member_state::left);

// Dead and left members are dropped long before this age.
constexpr std::uint64_t max_ended_ago_ms = 1000ULL * 60 * 60 * 24 * 365;

} // namespace

nlohmann::json encode_member(const membership::member& member)
{
    nlohmann::json value{{"i", member.id},
                         {"n", member.incarnation},
                         {"r", member.revision},
                         {"z", member.availability_zone},
                         {"p", core::to_string(member.peer_address)},
                         {"h", core::to_string(member.http_address)},
                         {"s", static_cast<std::uint64_t>(member.state)},
                         {"d", member.draining},
                         {"v", member.configuration_version}};
    if (!member.service.empty())
    {
        value["u"] = member.service;
        value["a"] = member.accepting;
    }
    if (!member.reaches_store)
    {
        value["b"] = false;
    }
    if (!member.deregistered_instance.empty())
    {
        value["l"] = member.deregistered_instance;
    }
    return value;
}

membership::member decode_member(const nlohmann::json& value, std::error_code& error)
{
    value_reader reader{value, error};
    membership::member member;
    member.id = reader.text("i", 1, max_name_length);
    member.incarnation = reader.number("n", max_number);
    member.revision = static_cast<std::uint32_t>(reader.number("r", max_revision));
    member.availability_zone = reader.text("z", 0, max_name_length);
    member.peer_address = reader.address("p");
    member.http_address = reader.address("h");
    member.state = static_cast<membership::member_state>(reader.number("s", max_state));
    member.draining = reader.boolean("d");
    member.configuration_version = reader.number("v", max_number);
    if (!reader.value("u").is_null())
    {
        member.service = reader.text("u", 1, max_name_length);
        member.accepting = reader.boolean("a");
    }
    if (!reader.value("b").is_null())
    {
        member.reaches_store = reader.boolean("b");
    }
    if (!reader.value("l").is_null())
    {
        member.deregistered_instance = reader.text("l", 1, max_name_length);
    }
    return member;
}

nlohmann::json encode_entries(const std::vector<membership::member_entry>& entries)
{
    auto list = nlohmann::json::array();
    for (const auto& entry : entries)
    {
        auto value = encode_member(entry.member);
        if (entry.ended_ago.count() > 0)
        {
            value["e"] = static_cast<std::uint64_t>(entry.ended_ago.count());
        }
        list.push_back(std::move(value));
    }
    return list;
}

std::vector<membership::member_entry> decode_entries(const nlohmann::json& value, std::error_code& error)
{
    std::vector<membership::member_entry> entries;
    for (const auto& each : value)
    {
        membership::member_entry entry{decode_member(each, error), std::chrono::milliseconds{0}};
        value_reader reader{each, error};
        if (!reader.value("e").is_null())
        {
            entry.ended_ago = std::chrono::milliseconds{reader.number("e", max_ended_ago_ms)};
        }
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace poplarport::wire::detail
