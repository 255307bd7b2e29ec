#pragma once

#include <chrono>  // milliseconds
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <string>  // string
#include <variant> // variant
#include <vector>  // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/membership/member.hpp"

namespace poplarport::membership
{

/// @brief An entry of gossip or of a member list.
struct member_entry
{
    membership::member member;
    /// Time since the member was found dead or left, zero for a live one. Every holder drops a dead or left member by
    /// this age; otherwise the members would reintroduce it to each other forever.
    std::chrono::milliseconds ended_ago{0};

    bool operator==(const member_entry&) const = default;
};

/// @brief Fields of every membership message.
struct message_header
{
    std::string service;       ///< name of the service; messages of other services are ignored
    membership::member sender; ///< the sender's entry about itself

    bool operator==(const message_header&) const = default;
};

/// @brief Requests an `ack` from the target.
struct ping
{
    message_header header;
    std::uint64_t sequence{0};
    core::node_id target; ///< ignored by any other node at the address
    std::vector<member_entry> gossip;

    bool operator==(const ping&) const = default;
};

/// @brief Response to a `ping`, or to an `indirect_ping` whose target sent an `ack`.
struct ack
{
    message_header header;
    std::uint64_t sequence{0}; ///< sequence number of the `ping` or `indirect_ping`
    std::vector<member_entry> gossip;

    bool operator==(const ack&) const = default;
};

/// @brief Requests that the receiver send a `ping` to the target and relay its `ack`.
struct indirect_ping
{
    message_header header;
    std::uint64_t sequence{0};
    core::node_id target;
    core::socket_address target_address;
    std::vector<member_entry> gossip;

    bool operator==(const indirect_ping&) const = default;
};

/// @brief Starts an exchange of complete lists if the hashes differ.
struct sync_request
{
    message_header header;
    std::uint64_t hash{0}; ///< `list_hash` of the sender's list
    /// `part_hashes` of the sender's list; empty from an earlier version of the program.
    std::vector<std::uint32_t> parts{};

    bool operator==(const sync_request&) const = default;
};

/// @brief Entries of the sender's list, or gossip updates.
struct member_updates
{
    message_header header;
    bool response_requested{false}; ///< the receiver must send its list in response
    std::vector<member_entry> entries;
    /// `part_hashes` of the sender's list, in the first message with a list; otherwise empty.
    std::vector<std::uint32_t> parts{};

    bool operator==(const member_updates&) const = default;
};

/// @brief A datagram between members.
using message = std::variant<ping, ack, indirect_ping, sync_request, member_updates>;

/// @brief Response to a request for the member list over the peer connection.
struct list_response
{
    std::uint64_t hash{0};             ///< `list_hash` of the live members, which the next request repeats
    bool unchanged{false};             ///< the hash equals the one in the request, and there are no entries
    std::vector<member_entry> entries; ///< live members, and dead or left members within the retention

    bool operator==(const list_response&) const = default;
};

/// @return an upper bound of the encoded size of an entry in bytes, as CBOR with short keys
[[nodiscard]] std::size_t estimated_size(const member& content) noexcept;

/// @return an upper bound of the encoded size of a message in bytes, as CBOR with short keys
[[nodiscard]] std::size_t estimated_size(const message& content) noexcept;

} // namespace poplarport::membership
