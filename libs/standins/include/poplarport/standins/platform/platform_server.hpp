#pragma once

#include <cstdint>  // uint32_t, uint64_t
#include <memory>   // unique_ptr
#include <optional> // optional

#include "poplarport/core/socket_address.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::standins
{

/// @brief Settings of the platform stand-in.
struct platform_settings
{
    core::socket_address listen{"127.0.0.1", 0};   ///< address of the object API
    std::optional<core::socket_address> control{}; ///< address for faults and counters; none if empty
    std::uint32_t reads_per_second{2000};          ///< rate above which reads, lists and watches are refused with 429
    std::uint32_t writes_per_second{500};          ///< rate above which writes and removals are refused with 429
};

/// @brief Calls since the start. A watch counts once, regardless of its duration.
struct platform_counters
{
    std::uint64_t reads{0};
    std::uint64_t lists{0};
    std::uint64_t watches{0};
    std::uint64_t writes{0};
    std::uint64_t removals{0};
    std::uint64_t conflicts{0};      ///< writes and removals whose condition did not hold
    std::uint64_t refused{0};        ///< calls above a rate limit (429)
    std::uint64_t unavailable{0};    ///< calls during an outage (503)
    std::uint64_t lost_responses{0}; ///< writes whose response was dropped
    std::uint64_t restores{0};
};

/// @brief Stand-in for the platform's object API, with fault injection, for tests and the demo.
///
/// `GET /v1/objects/KEY` returns an object; with `?watch=true&after=VERSION&timeout_ms=N` it waits for a newer version.
/// `PUT` and `DELETE` require `If-Match: "VERSION"` or, to create an object, `If-None-Match: *`.
/// A watch after a version that the store does not have gets 410. `GET /v1/objects?prefix=P` lists keys and versions.
/// Every response has the field `Object-Era`. The control address has `POST /faults` with `{"kind": "down" | "slow" |
/// "lost_answer", "for_ms": N, "count": N, "delay_ms": N}`, `DELETE /faults` and `GET /counters`. `POST /faults` with
/// `{"kind": "restore", "age_ms": N, "away_ms": N}` makes the store unavailable for a time, after which it has the
/// state of a copy of that age, and its era is higher by one.
class platform_server
{
  public:
    /// @param[in] loop     event loop of the server; must outlive it
    /// @param[in] settings addresses and rates
    /// @throw std::system_error if an address cannot be listened on
    platform_server(net::event_loop& loop, const platform_settings& settings);
    ~platform_server();
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

    /// @return the address of the object API, with the port in use
    [[nodiscard]] const core::socket_address& address() const noexcept;

    /// @return the control address with the port in use; nothing if there is none
    [[nodiscard]] std::optional<core::socket_address> control_address() const;

    /// @return the counts of calls since the start
    [[nodiscard]] const platform_counters& counters() const noexcept;

    struct state;

  private:
    std::unique_ptr<state> data;
};

} // namespace poplarport::standins
