#pragma once

#include <chrono>      // steady_clock
#include <cstdint>     // uint32_t
#include <string_view> // string_view

namespace poplarport::observability
{

/// @brief Bounds the records of single requests and keeps whole requests: under load a sample, the same on all nodes.
///
/// Up to half of the limit of a second goes to any request. The other half is left to one request in eight, chosen by a
/// hash of its id, so that the records of those can be followed through all nodes.
class request_log_limit
{
  public:
    /// @brief Counts a record of a request.
    /// @param[in] id  id of the request; what follows a dot is left out, so that calls share the sample of their origin
    /// @param[in] now reading of the clock
    /// @return whether the record is to be written
    [[nodiscard]] bool admits(std::string_view id, std::chrono::steady_clock::time_point now) noexcept;

    /// @return whether a request belongs to the sample
    [[nodiscard]] static bool is_sampled(std::string_view id) noexcept;

  private:
    std::chrono::steady_clock::time_point window_start{};
    std::uint32_t written{0};
};

} // namespace poplarport::observability
