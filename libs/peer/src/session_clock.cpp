#include "poplarport/peer/session_clock.hpp"

#include <algorithm> // max
#include <cstdint>   // int64_t

namespace poplarport::peer
{

std::chrono::microseconds session_clock::excess_delay(std::chrono::microseconds sent_at,
                                                      std::chrono::microseconds received_at) noexcept
{
    constexpr std::int64_t drift_divisor = 10'000;
    const auto difference = received_at - sent_at;
    if (!this->min_difference)
    {
        this->min_difference = difference;
        this->min_difference_at = received_at;
    }
    const auto drift = std::max(std::chrono::microseconds{0}, (received_at - this->min_difference_at) / drift_divisor);
    const auto expected = *this->min_difference + drift;
    if (difference < expected)
    {
        this->min_difference = difference;
        this->min_difference_at = received_at;
        return std::chrono::microseconds{0};
    }
    return difference - expected;
}

std::chrono::microseconds session_clock::remaining(std::chrono::microseconds time_left,
                                                   std::chrono::microseconds sent_at,
                                                   std::chrono::microseconds received_at) noexcept
{
    return std::max(std::chrono::microseconds{0}, time_left - this->excess_delay(sent_at, received_at));
}

} // namespace poplarport::peer
