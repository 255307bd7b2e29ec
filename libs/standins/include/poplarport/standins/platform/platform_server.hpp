#pragma once

#include <cstdint>  // uint32_t, uint64_t
#include <memory>   // unique_ptr
#include <optional> // optional

#include "poplarport/core/socket_address.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::standins
{

/// @brief Settings of the platform's stand-in.
struct platform_settings
{
    core::socket_address listen{"127.0.0.1", 0};   ///< address of the object API
    std::optional<core::socket_address> control{}; ///< address for faults and counters; none if absent
    std::uint32_t reads_per_second{2000};          ///< rate above which reads, lists and watches get 429
    std::uint32_t writes_per_second{500};          ///< rate above which writes and removals get 429
};

/// @brief Calls since the start; a watch counts once, however long it waits.
struct platform_counters
{
    std::uint64_t reads{0};
    std::uint64_t lists{0};
    std::uint64_t watches{0};
    std::uint64_t writes{0};
    std::uint64_t removals{0};
    std::uint64_t conflicts{0};    ///< writes and removals whose condition did not hold
    std::uint64_t refused{0};      ///< calls above a rate (429)
    std::uint64_t unavailable{0};  ///< calls during an outage (503)
    std::uint64_t lost_answers{0}; ///< writes whose answer was dropped
};

/// @brief The platform's object API for tests and the demo, with faults.
///
/// `GET`, `PUT` and `DELETE /v1/objects/KEY`, watches and lists are described in docs/design.md, section 7. The control
/// address has `POST /faults` with `{"kind": "down" | "slow" | "lost_answer", "for_ms": N, "count": N, "delay_ms": N}`,
/// `DELETE /faults` and `GET /counters`.
class platform_server
{
  public:
    /// @param[in] loop   loop of the server; must outlive it
    /// @param[in] chosen settings
    /// @throw std::system_error when an address cannot be listened on
    platform_server(net::event_loop& loop, const platform_settings& chosen);
    ~platform_server();
    platform_server(const platform_server&) = delete;
    platform_server& operator=(const platform_server&) = delete;

    /// @return the address of the object API
    [[nodiscard]] const core::socket_address& address() const noexcept;

    /// @return the control address, or nothing
    [[nodiscard]] std::optional<core::socket_address> control_address() const;

    /// @return the calls since the start
    [[nodiscard]] const platform_counters& counters() const noexcept;

    struct state;

  private:
    std::unique_ptr<state> data;
};

} // namespace poplarport::standins
