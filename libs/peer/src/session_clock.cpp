#include "poplarport/peer/session_clock.hpp"

#include <algorithm> // max

namespace poplarport::peer
{

std::chrono::microseconds session_clock::excess(std::chrono::microseconds sent_at,
                                                std::chrono::microseconds received_at) noexcept
{
    const auto difference = received_at - sent_at;
    if (!this->smallest || difference < *this->smallest)
    {
        this->smallest = difference;
    }
    return difference - *this->smallest;
}

std::chrono::microseconds session_clock::remaining(std::chrono::microseconds time_left,
                                                   std::chrono::microseconds sent_at,
                                                   std::chrono::microseconds received_at) noexcept
{
    return std::max(std::chrono::microseconds{0}, time_left - this->excess(sent_at, received_at));
}

} // namespace poplarport::peer
