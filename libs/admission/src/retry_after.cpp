#include "poplarport/admission/retry_after.hpp"

#include <algorithm> // clamp, min
#include <chrono>    // duration_cast, milliseconds, seconds

namespace poplarport::admission
{

namespace
{

// A new request costs its caller a connection, so a shorter delay saves nothing.
constexpr std::chrono::milliseconds min_delay{50};

// Loads and memberships change within this time, so a longer wait cannot be foretold.
constexpr std::chrono::seconds max_wait{2};

// For example a node that has just started and knows no endpoint yet.
constexpr std::chrono::milliseconds unknown_wait{100};

// The delays of requests of one priority lie between the expected wait and 1.5 times that.
constexpr double spread = 0.5;

// Additional part of the expected wait for each lower priority.
constexpr double priority_step = 0.25;
constexpr std::uint32_t lowest_priority = 3;

} // namespace

core::duration retry_after(std::optional<core::duration> expected_wait, std::uint32_t priority, std::mt19937_64& random)
{
    const auto wait = std::clamp<core::duration>(expected_wait.value_or(unknown_wait), min_delay, max_wait);
    const double rank_factor = 1.0 + priority_step * std::min(priority, lowest_priority);
    const double spread_factor = 1.0 + std::uniform_real_distribution<double>{0.0, spread}(random);
    return std::chrono::duration_cast<core::duration>(wait * (rank_factor * spread_factor));
}

} // namespace poplarport::admission
