#pragma once

#include <cstddef> // size_t
#include <random>  // mt19937_64, uniform_int_distribution

#include "poplarport/core/time.hpp"

namespace poplarport::core
{

/// @return a uniformly distributed duration from zero to the bound
[[nodiscard]] inline duration random_duration(duration bound, std::mt19937_64& random)
{
    return duration{std::uniform_int_distribution<duration::rep>{0, bound.count()}(random)};
}

/// @return a uniformly distributed duration from 3/4 to 5/4 of the interval
[[nodiscard]] inline duration jittered_interval(duration interval, std::mt19937_64& random)
{
    return interval * 3 / 4 + random_duration(interval / 2, random);
}

/// @return a uniformly distributed index below the count, which must not be zero
[[nodiscard]] inline std::size_t index_below(std::size_t count, std::mt19937_64& random)
{
    return std::uniform_int_distribution<std::size_t>{0, count - 1}(random);
}

} // namespace poplarport::core
