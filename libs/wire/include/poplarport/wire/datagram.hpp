#pragma once

#include <cstddef>      // size_t
#include <cstdint>      // uint32_t
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code
#include <variant>      // variant
#include <vector>       // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/evacuation/zone_state.hpp"
#include "poplarport/limits/quota.hpp"
#include "poplarport/membership/message.hpp"

namespace poplarport::wire
{

/// @brief Notifies one sender that an endpoint has free slots.
struct idle_hint
{
    core::node_id node;
    std::uint32_t free_slots{0};

    bool operator==(const idle_hint&) const = default;
};

/// @brief Notifies senders, independently of responses, that the speed of an endpoint's VM has changed.
struct slowdown_notice
{
    core::node_id node;
    std::uint32_t slowdown_percent{100}; ///< duration of work relative to the VM's usual speed, 100 for no slowdown

    bool operator==(const slowdown_notice&) const = default;
};

/// @brief Tells a node which availability zones are evacuated.
struct evacuation_notice
{
    core::node_id node; ///< the sender
    evacuation::zone_state state{};

    bool operator==(const evacuation_notice&) const = default;
};

/// @brief Reports the requests of tenants to the owner of their quotas.
struct quota_reports
{
    core::node_id node; ///< the sender
    std::vector<limits::quota_report> reports{};

    bool operator==(const quota_reports&) const = default;
};

/// @brief Decisions of the owner of quotas, for one node or for all.
struct quota_decisions
{
    core::node_id node; ///< the sender
    std::vector<limits::quota_decision> decisions{};

    bool operator==(const quota_decisions&) const = default;
};

/// @brief Any datagram that nodes exchange over UDP.
using datagram =
    std::variant<membership::message, idle_hint, slowdown_notice, evacuation_notice, quota_reports, quota_decisions>;

/// @brief Maximum number of reports or decisions in a datagram, which then fits into a packet of 1,400 bytes with names
/// of usual length.
inline constexpr std::size_t max_quota_entries = 24;

/// @brief Size in bytes of the authentication tag before the CBOR of each datagram, a truncated HMAC-SHA-256.
inline constexpr std::size_t authentication_tag_bytes = 16;

/// @brief Encodes a membership message.
/// @param[in] message the message
/// @param[in] secret  shared secret of the cluster
[[nodiscard]] std::string encode(const membership::message& message, std::string_view secret);

/// @brief Encodes an idle hint.
/// @param[in] hint   the hint
/// @param[in] secret shared secret of the cluster
[[nodiscard]] std::string encode(const idle_hint& hint, std::string_view secret);

/// @brief Encodes a slowdown notice.
/// @param[in] notice the notice
/// @param[in] secret shared secret of the cluster
[[nodiscard]] std::string encode(const slowdown_notice& notice, std::string_view secret);

/// @brief Encodes an evacuation notice.
/// @param[in] notice the notice
/// @param[in] secret shared secret of the cluster
[[nodiscard]] std::string encode(const evacuation_notice& notice, std::string_view secret);

/// @brief Encodes quota reports, at most `max_quota_entries`.
/// @param[in] reports the reports
/// @param[in] secret  shared secret of the cluster
[[nodiscard]] std::string encode(const quota_reports& reports, std::string_view secret);

/// @brief Encodes quota decisions, at most `max_quota_entries`.
/// @param[in] decisions the decisions
/// @param[in] secret    shared secret of the cluster
[[nodiscard]] std::string encode(const quota_decisions& decisions, std::string_view secret);

/// @brief Decodes a datagram; unknown fields are ignored.
/// @param[in]  bytes  the datagram
/// @param[in]  secret shared secret of the cluster
/// @param[out] error  `errc::not_authentic`, `malformed`, `out_of_bounds` or `unknown_kind`; cleared on success
/// @return the datagram, or nothing on error
[[nodiscard]] std::optional<datagram> decode(std::string_view bytes, std::string_view secret, std::error_code& error);

} // namespace poplarport::wire
