#include "poplarport/routes/weighted_round_robin.hpp"

#include <cassert>       // assert
#include <unordered_set> // unordered_set

namespace poplarport::routes
{

const destination& weighted_round_robin::next(const route& matched_route)
{
    assert(!matched_route.destinations.empty());
    if (matched_route.destinations.size() == 1)
    {
        return matched_route.destinations.front();
    }
    auto& credits = this->credits_by_route[matched_route.name];
    if (credits.destinations != matched_route.destinations)
    {
        credits.destinations = matched_route.destinations;
        credits.credit_by_destination.assign(matched_route.destinations.size(), 0);
    }
    std::int64_t weight_sum = 0;
    std::size_t max_index = 0;
    for (std::size_t index = 0; index < credits.credit_by_destination.size(); ++index)
    {
        const std::int64_t weight = matched_route.destinations[index].weight;
        weight_sum += weight;
        credits.credit_by_destination[index] += weight;
        max_index = credits.credit_by_destination[index] > credits.credit_by_destination[max_index] ? index : max_index;
    }
    credits.credit_by_destination[max_index] -= weight_sum;
    return matched_route.destinations[max_index];
}

void weighted_round_robin::retain(const configuration& active_configuration)
{
    std::unordered_set<std::string> names;
    for (const auto& each : active_configuration.routes)
    {
        names.insert(each.name);
    }
    std::erase_if(this->credits_by_route, [&names](const auto& entry) { return !names.contains(entry.first); });
}

} // namespace poplarport::routes
