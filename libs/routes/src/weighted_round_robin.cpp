#include "poplarport/routes/weighted_round_robin.hpp"

#include <cassert>       // assert
#include <unordered_set> // unordered_set

namespace poplarport::routes
{

const destination& weighted_round_robin::next(const route& chosen)
{
    assert(!chosen.destinations.empty());
    if (chosen.destinations.size() == 1)
    {
        return chosen.destinations.front();
    }
    auto& state = this->by_route[chosen.name];
    if (state.destinations != chosen.destinations)
    {
        state.destinations = chosen.destinations;
        state.values.assign(chosen.destinations.size(), 0);
    }
    std::int64_t sum = 0;
    std::size_t best = 0;
    for (std::size_t index = 0; index < state.values.size(); ++index)
    {
        const std::int64_t weight = chosen.destinations[index].weight;
        sum += weight;
        state.values[index] += weight;
        best = state.values[index] > state.values[best] ? index : best;
    }
    state.values[best] -= sum;
    return chosen.destinations[best];
}

void weighted_round_robin::retain(const configuration& current)
{
    std::unordered_set<std::string> names;
    for (const auto& each : current.routes)
    {
        names.insert(each.name);
    }
    std::erase_if(this->by_route, [&names](const auto& entry) { return !names.contains(entry.first); });
}

} // namespace poplarport::routes
