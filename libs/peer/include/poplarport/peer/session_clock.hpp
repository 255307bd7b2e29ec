#pragma once

#include <chrono>   // microseconds
#include <optional> // optional

namespace poplarport::peer
{

/// @brief Estimates the delay of each message of a connection relative to the fastest message.
///
/// The clocks of the two sides have an unknown offset. The minimum difference between the time of receipt and the
/// sender's timestamp is that offset plus the minimum delay seen; a message whose difference is larger had additional
/// delay. The clocks also run at slightly different rates, and over days that drift alone would exceed any deadline.
/// The minimum difference is therefore allowed to grow by 100 ppm of the time since it was seen, twice the error of a
/// quartz clock.
class session_clock
{
  public:
    /// @brief Adds one message to the estimate.
    /// @param[in] sent_at     sender's monotonic clock when the message was sent (poplar-sent-at-us)
    /// @param[in] received_at receiver's monotonic clock when the message was received
    /// @return the delay in excess of the minimum difference, not below zero
    [[nodiscard]] std::chrono::microseconds excess_delay(std::chrono::microseconds sent_at,
                                                         std::chrono::microseconds received_at) noexcept;

    /// @brief Subtracts the excess delay of one message from the remaining time that its sender stated.
    /// @return the remaining time, not below zero
    [[nodiscard]] std::chrono::microseconds remaining(std::chrono::microseconds time_left,
                                                      std::chrono::microseconds sent_at,
                                                      std::chrono::microseconds received_at) noexcept;

  private:
    std::optional<std::chrono::microseconds> min_difference{}; ///< minimum difference, without the growth since then
    std::chrono::microseconds min_difference_at{0};            ///< receiver's clock when the minimum was seen
};

} // namespace poplarport::peer
