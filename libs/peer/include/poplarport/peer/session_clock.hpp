#pragma once

#include <chrono>   // microseconds
#include <optional> // optional

namespace poplarport::peer
{

/// @brief Estimates by how much each message of a connection was delayed beyond the fastest one.
///
/// The clocks of the two sides have an unknown offset. The smallest difference between the time of receipt and the
/// sender's reading is that offset plus the shortest delay seen; what a message exceeds it by is additional delay.
/// The two clocks also run at slightly different rates. Over days that alone would exceed any deadline, so the smallest
/// difference is allowed to grow by 100 millionths of the time since it was seen, twice what a quartz clock is off by.
class session_clock
{
  public:
    /// @brief Takes one message into account.
    /// @param[in] sent_at     the sender's monotonic clock (poplar-sent-at-us)
    /// @param[in] received_at the receiver's monotonic clock
    /// @return the delay beyond the smallest difference, never below zero
    [[nodiscard]] std::chrono::microseconds excess(std::chrono::microseconds sent_at,
                                                   std::chrono::microseconds received_at) noexcept;

    /// @brief Subtracts the excess of one message from the time that its sender left for it.
    /// @return the remaining time, not below zero
    [[nodiscard]] std::chrono::microseconds remaining(std::chrono::microseconds time_left,
                                                      std::chrono::microseconds sent_at,
                                                      std::chrono::microseconds received_at) noexcept;

  private:
    std::optional<std::chrono::microseconds> smallest{}; ///< smallest difference, not yet grown
    std::chrono::microseconds smallest_at{0};            ///< receiver's clock when it was seen
};

} // namespace poplarport::peer
