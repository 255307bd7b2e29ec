#pragma once

#include <chrono>   // milliseconds
#include <cstdint>  // uint64_t
#include <optional> // optional

#include "poplarport/core/time.hpp"

namespace poplarport::standins
{

/// @brief A fault with its limits; without limits it stays until it is cleared.
class limited_fault
{
  public:
    /// @brief Starts the fault.
    /// @param[in] count calls that it affects, or nothing for no limit
    /// @param[in] end   when it ends, or nothing for no limit
    void start(std::optional<std::uint64_t> count, std::optional<core::time_point> end) noexcept;

    /// @brief Ends the fault.
    void clear() noexcept;

    /// @brief Tells whether the fault affects a call, and counts the call if so.
    [[nodiscard]] bool take(core::time_point now) noexcept;

    /// @return whether the fault would affect a call now
    [[nodiscard]] bool is_active(core::time_point now) const noexcept;

  private:
    bool is_started{false};
    std::optional<std::uint64_t> remaining{};
    std::optional<core::time_point> until{};
};

/// @brief The faults of the platform's stand-in.
struct platform_faults
{
    limited_fault down;                 ///< every call is answered with 503
    limited_fault slow;                 ///< every call waits for `delay` before it is processed
    limited_fault lost_answer;          ///< a write takes effect and its connection closes without an answer
    std::chrono::milliseconds delay{0}; ///< delay of `slow`
};

} // namespace poplarport::standins
