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
    /// Time since the member was found dead or left, zero for a live one. Each holder forgets an ended member by this
    /// age, so that the members do not remind each other of it for ever.
    std::chrono::milliseconds ended_ago{0};

    bool operator==(const member_entry&) const = default;
};

/// @brief Fields of every membership message.
struct message_header
{
    std::string service;       ///< name of the service; a message of another service is ignored
    membership::member sender; ///< the sender's own entry

    bool operator==(const message_header&) const = default;
};

/// @brief Asks the target for an `ack`.
struct ping
{
    message_header header;
    std::uint64_t sequence{0};
    core::node_id target; ///< any other node at the address ignores the message
    std::vector<member_entry> gossip;

    bool operator==(const ping&) const = default;
};

/// @brief Answers a `ping`, or reports the answer to an `indirect_ping`.
struct ack
{
    message_header header;
    std::uint64_t sequence{0}; ///< of the message that is answered
    std::vector<member_entry> gossip;

    bool operator==(const ack&) const = default;
};

/// @brief Asks the receiver to send a `ping` to the target and to report its `ack`.
struct indirect_ping
{
    message_header header;
    std::uint64_t sequence{0};
    core::node_id target;
    core::socket_address target_address;
    std::vector<member_entry> gossip;

    bool operator==(const indirect_ping&) const = default;
};

/// @brief Starts an exchange of whole lists if the hashes differ.
struct sync_request
{
    message_header header;
    std::uint64_t hash{0}; ///< `list_hash` of the sender's list

    bool operator==(const sync_request&) const = default;
};

/// @brief Entries of the sender's list, or news.
struct member_news
{
    message_header header;
    bool answer_wanted{false}; ///< the receiver sends its own list
    std::vector<member_entry> entries;

    bool operator==(const member_news&) const = default;
};

/// @brief A datagram between members.
using message = std::variant<ping, ack, indirect_ping, sync_request, member_news>;

/// @brief Answer to a request for the member list over the peer connection.
struct list_answer
{
    std::uint64_t hash{0};             ///< `list_hash` of the live members; sent with the next request
    bool unchanged{false};             ///< the hash equals the one in the request; there are no entries
    std::vector<member_entry> entries; ///< live and remembered ended members

    bool operator==(const list_answer&) const = default;
};

/// @return an upper bound of the size of an entry in CBOR with short keys, in bytes
[[nodiscard]] std::size_t estimated_size(const member& value) noexcept;

/// @return an upper bound of the size of a message in CBOR with short keys, in bytes
[[nodiscard]] std::size_t estimated_size(const message& value) noexcept;

} // namespace poplarport::membership
