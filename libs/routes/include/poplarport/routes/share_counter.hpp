#pragma once

#include <cstdint>       // int64_t
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "poplarport/routes/configuration.hpp"

namespace poplarport::routes
{

/// @brief Distributes the requests of each route over its destinations so that any run of them keeps the weights.
///
/// Smooth weighted round robin: each request adds its weight to every destination's credit, and the destination with
/// the greatest credit pays the sum. The credits outlive a change of the configuration that leaves the weights alone.
class share_counter
{
  public:
    /// @brief Chooses the destination of the next request.
    /// @param[in] chosen a route with at least one destination
    [[nodiscard]] const destination& next(const route& chosen);

    /// @brief Forgets routes that a configuration no longer has.
    void retain(const configuration& current);

  private:
    struct credits
    {
        std::vector<destination> destinations;
        std::vector<std::int64_t> values;
    };

    std::unordered_map<std::string, credits> by_route;
};

} // namespace poplarport::routes
