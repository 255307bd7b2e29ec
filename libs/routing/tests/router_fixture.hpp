#pragma once

#include <map>    // map
#include <random> // mt19937_64
#include <string> // string, to_string
#include <vector> // vector

#include "poplarport/routing/router.hpp"

namespace poplarport::routing
{

using namespace std::chrono_literals;

inline constexpr core::time_point start{1h};

inline std::vector<endpoint> make_endpoints(std::size_t count, std::size_t zones = 1)
{
    std::vector<endpoint> endpoints;
    for (std::size_t index = 0; index < count; ++index)
    {
        const std::string zone = "zone-" + std::to_string(index % zones);
        endpoints.push_back({"endpoint-with-a-long-name-" + std::to_string(index), zone, {"10.0.0.1", 80}, 1, false});
    }
    return endpoints;
}

inline const std::vector<endpoint> three_endpoints = make_endpoints(3);

inline router make_router(std::vector<endpoint> endpoints)
{
    router tested_router = router::builder{}.availability_zone("zone-0").build();
    tested_router.set_endpoints(std::move(endpoints), start);
    return tested_router;
}

inline core::load_report make_report(std::uint32_t in_flight, core::duration service_time = 10ms)
{
    return {8, in_flight, 0, std::chrono::duration_cast<std::chrono::microseconds>(service_time), false};
}

// Counts how often each endpoint is picked at one point in time.
inline std::map<std::string, int> count_picks(router& tested_router, core::time_point now,
                                              const pick_request& request = {})
{
    std::mt19937_64 random_engine{5};
    std::map<std::string, int> counts;
    for (int iteration = 0; iteration < 300; ++iteration)
    {
        const auto picked = tested_router.pick(request, now, random_engine);
        ++counts[picked ? picked->target->id : "none"];
    }
    return counts;
}

} // namespace poplarport::routing
