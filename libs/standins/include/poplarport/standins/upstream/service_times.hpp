#pragma once

#include <chrono>      // duration, milliseconds
#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <random>      // mt19937_64
#include <string_view> // string_view

#include "poplarport/core/time.hpp"

namespace poplarport::standins
{

/// @brief Distribution of the service times.
enum class service_time_shape
{
    constant,    ///< always the mean
    exponential, ///< memoryless
    lognormal    ///< heavy-tailed
};

/// @brief Parses `constant`, `exponential` or `lognormal`.
/// @return the distribution, or nothing for any other text
[[nodiscard]] std::optional<service_time_shape> service_time_shape_from_string(std::string_view text);

/// @brief Duration in fractional milliseconds.
using fractional_milliseconds = std::chrono::duration<double, std::milli>;

/// @brief Generates service times, deterministically for a seed.
class service_times
{
  public:
    struct options
    {
        service_time_shape shape{service_time_shape::constant};
        fractional_milliseconds mean{5.0}; ///< mean service time
        double sigma{1.0};                 ///< standard deviation of the logarithm; lognormal only
        std::uint64_t seed{1};
    };

    /// @param[in] generator_options distribution and seed
    explicit service_times(const options& generator_options);

    /// @return the next service time
    [[nodiscard]] core::duration next();

  private:
    options parameters;
    std::mt19937_64 random_engine;
};

} // namespace poplarport::standins
