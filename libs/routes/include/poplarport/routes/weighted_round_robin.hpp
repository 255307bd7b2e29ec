#pragma once

#include <cstdint>       // int64_t
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "poplarport/routes/configuration.hpp"

namespace poplarport::routes
{

/// @brief Distributes the requests of each route over its destinations by smooth weighted round robin.
///
/// Each request adds to every destination's credit that destination's weight; the destination with the highest credit
/// receives the request and has the sum of the weights subtracted. Any sequence of requests thus follows the weights
/// closely. The credits of a route are kept across configurations that leave its destinations unchanged.
class weighted_round_robin
{
  public:
    /// @brief Selects the destination of the next request.
    /// @param[in] matched_route the route of the request, with at least one destination
    /// @return the destination, which refers into the route
    [[nodiscard]] const destination& next(const route& matched_route);

    /// @brief Drops the credits of routes that are not in a configuration.
    void retain(const configuration& active_configuration);

  private:
    struct route_credits
    {
        std::vector<destination> destinations;
        std::vector<std::int64_t> credit_by_destination;
    };

    std::unordered_map<std::string, route_credits> credits_by_route;
};

} // namespace poplarport::routes
