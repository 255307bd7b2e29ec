#pragma once

#include <chrono>   // milliseconds
#include <cstdint>  // uint64_t
#include <optional> // optional

#include "poplarport/core/time.hpp"

namespace poplarport::standins
{

/// @brief A fault that can be limited in count and time; without a limit it is active until it is cleared.
class limited_fault
{
  public:
    /// @brief Starts the fault.
    /// @param[in] count number of calls that it affects, or nothing for no limit
    /// @param[in] end   time at which it ends, or nothing for no limit
    void start(std::optional<std::uint64_t> count, std::optional<core::time_point> end) noexcept;

    /// @brief Ends the fault.
    void clear() noexcept;

    /// @brief Returns whether the fault affects a call and, if so, counts the call.
    [[nodiscard]] bool consume(core::time_point now) noexcept;

    /// @return whether the fault would affect a call at this time
    [[nodiscard]] bool is_active(core::time_point now) const noexcept;

  private:
    bool is_started{false};
    std::optional<std::uint64_t> remaining_calls{};
    std::optional<core::time_point> end_time{};
};

/// @brief Faults of the platform stand-in.
struct platform_faults
{
    limited_fault down;                 ///< the response to every call has status 503
    limited_fault slow;                 ///< every call is delayed by `delay` before it is processed
    limited_fault lost_response;        ///< a write takes effect, but its connection closes without a response
    std::chrono::milliseconds delay{0}; ///< delay of `slow`
};

} // namespace poplarport::standins
