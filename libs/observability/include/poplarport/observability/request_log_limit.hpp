#pragma once

#include <chrono>      // steady_clock
#include <cstdint>     // uint32_t
#include <string_view> // string_view

namespace poplarport::observability
{

/// @brief Limits the rate of per-request log records; under load it keeps a sample that is the same on all nodes.
///
/// Any request may use the first half of the limit per second. The second half is reserved for one request in eight,
/// selected by a hash of its id, so that a sampled request can be traced through all nodes.
class request_log_limit
{
  public:
    /// @brief Counts a record of a request against the limit.
    /// @param[in] id  id of the request; the part from the first dot on is ignored, so that the calls made for a
    /// request
    ///                are sampled together with it
    /// @param[in] now current time
    /// @return whether to write the record
    [[nodiscard]] bool admits(std::string_view id, std::chrono::steady_clock::time_point now) noexcept;

    /// @return whether a request is part of the sample
    [[nodiscard]] static bool is_sampled(std::string_view id) noexcept;

  private:
    std::chrono::steady_clock::time_point window_start{};
    std::uint32_t written{0};
};

} // namespace poplarport::observability
