#pragma once

#include <chrono>  // microseconds
#include <cstdint> // uint64_t

namespace poplarport::peer
{

/// @brief Counters of a server or a link since its construction.
struct counters
{
    std::uint64_t sessions{0};               ///< connections established
    std::uint64_t streams{0};                ///< calls started or received
    std::uint64_t refused{0};                ///< streams refused before anything ran
    std::uint64_t silent{0};                 ///< connections closed because no byte arrived
    std::uint64_t bytes_in{0};               ///< bytes received
    std::uint64_t bytes_out{0};              ///< bytes passed to the sockets
    std::uint64_t pings{0};                  ///< PING frames sent
    std::chrono::microseconds round_trip{0}; ///< moving average over acknowledged PINGs; zero before the first
};

} // namespace poplarport::peer
