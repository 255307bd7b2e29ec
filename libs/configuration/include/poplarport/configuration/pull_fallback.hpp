#pragma once

#include <chrono> // milliseconds, seconds
#include <random> // mt19937_64

#include "poplarport/core/time.hpp"

namespace poplarport::configuration
{

/// @brief Settings of a pull fallback.
struct pull_fallback_settings
{
    /// Consecutive pulls without a newer version after which the store is read. A single one may have met a member that
    /// has just ended.
    int max_failed_pulls{2};
    /// The first read happens at a random time within this span, so that nodes that fail together do not meet.
    core::duration first_read_spread{std::chrono::milliseconds{400}};
    /// Initial delay until the next read; doubles up to the maximum.
    core::duration read_delay{std::chrono::milliseconds{500}};
    core::duration max_read_delay{std::chrono::seconds{4}};
};

/// @brief Decides when a node that cannot get a version from the members that announce it reads the store instead.
class pull_fallback
{
  public:
    explicit pull_fallback(const pull_fallback_settings& settings = {}) noexcept;

    /// @brief Records that a pull has ended, or could not start.
    /// @param[in]     has_newer_version whether it brought a newer version
    /// @param[in]     now               current time
    /// @param[in,out] random            source of jitter
    void on_pull_ended(bool has_newer_version, core::time_point now, std::mt19937_64& random);

    /// @brief Returns whether the store has to be read now, and schedules the next read.
    [[nodiscard]] bool take_read(core::time_point now, std::mt19937_64& random);

  private:
    pull_fallback_settings settings;
    int failed_pulls{0};
    core::duration read_delay;
    core::time_point next_read{};
};

} // namespace poplarport::configuration
