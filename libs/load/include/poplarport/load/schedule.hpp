#pragma once

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <optional> // optional
#include <random>   // mt19937_64
#include <vector>   // vector

#include "poplarport/core/time.hpp"
#include "poplarport/load/plan.hpp"

namespace poplarport::load
{

/// @brief A scheduled arrival.
struct arrival
{
    core::duration offset{}; ///< from the start of the run
    std::size_t phase{0};    ///< index of the phase
};

/// @brief Generates the arrivals of all phases, deterministically for a seed.
class schedule
{
  public:
    /// @param[in] phases phases in order of time
    /// @param[in] seed   seed of the inter-arrival times
    schedule(std::vector<phase> phases, std::uint64_t seed);

    /// @return the next arrival, or nothing after the last phase
    [[nodiscard]] std::optional<arrival> next();

  private:
    std::vector<phase> phases;
    std::mt19937_64 random_engine;
    std::size_t current_phase{0};
    double phase_start_s{0.0};
    double phase_offset_s{0.0}; ///< within the current phase
    std::size_t arrivals_in_phase{0};
};

} // namespace poplarport::load
