#include "poplarport/routing/subset.hpp"

#include <algorithm> // max, min, ranges::count_if, ranges::set_difference
#include <iterator>  // back_inserter
#include <set>       // set
#include <string>    // string, to_string
#include <vector>    // vector

#include <CppUTest/TestHarness.h>

using namespace poplarport::routing;

namespace
{

std::vector<endpoint> make_members(std::size_t count, std::size_t zones)
{
    std::vector<endpoint> members;
    for (std::size_t index = 0; index < count; ++index)
    {
        members.push_back({"member-" + std::to_string(index), "zone-" + std::to_string(index % zones), {}, 0, false});
    }
    return members;
}

std::set<std::string> names(const std::string& self, const std::vector<endpoint>& members, std::size_t size)
{
    std::set<std::string> result;
    for (const std::size_t position : subset(self, members, size))
    {
        result.insert(members[position].id);
    }
    return result;
}

} // namespace

TEST_GROUP(subset){};

// Guards against endpoints that get more connections than they take, with thousands of nodes.
TEST(subset, connections_per_endpoint_stay_within_the_limit)
{
    struct scale
    {
        std::size_t callers;
        std::size_t members;
        std::size_t zones;
    };
    constexpr std::size_t limit = 260;
    for (const scale& item : {scale{10'000, 400, 24}, scale{5000, 150, 4}, scale{3000, 90, 3}, scale{200, 14, 4}})
    {
        const std::vector<endpoint> members = make_members(item.members, item.zones);
        const std::size_t size = subset_size(item.callers, item.members, limit);
        std::vector<std::size_t> connections(item.members, 0);
        for (std::size_t caller = 0; caller < item.callers; ++caller)
        {
            for (const std::size_t position : subset("node-" + std::to_string(caller), members, size))
            {
                ++connections[position];
            }
        }
        const double mean = static_cast<double>(item.callers * size) / static_cast<double>(item.members);
        CHECK(std::ranges::max(connections) <= limit);
        CHECK(static_cast<double>(std::ranges::min(connections)) >= mean * 0.6);
    }
    CHECK_EQUAL(0, subset_size(10, 0, limit));
}

// Guards against a subset within one zone, which a failure of the zone cuts off.
TEST(subset, represents_zones_in_proportion)
{
    const std::vector<endpoint> members = make_members(120, 4);
    for (int caller = 0; caller < 500; ++caller)
    {
        const auto chosen = subset("node-" + std::to_string(caller), members, 14);
        CHECK_EQUAL(14, chosen.size());
        for (const char* zone : {"zone-0", "zone-1", "zone-2", "zone-3"})
        {
            const auto in_zone = std::ranges::count_if(chosen, [&](std::size_t position)
                                                       { return members[position].availability_zone == zone; });
            CHECK(in_zone >= 3 && in_zone <= 4);
        }
    }
    CHECK_EQUAL(5, subset("node", make_members(5, 2), 14).size());
}

// Guards against reconnecting the fleet when one member joins or leaves.
TEST(subset, is_stable_under_churn)
{
    const std::vector<endpoint> before = make_members(200, 4);
    std::vector<endpoint> after = before;
    after.erase(after.begin() + 77);
    std::size_t changed = 0;
    for (int caller = 0; caller < 2000; ++caller)
    {
        const std::string self = "node-" + std::to_string(caller);
        const std::set<std::string> old_names = names(self, before, 14);
        const std::set<std::string> new_names = names(self, after, 14);
        std::vector<std::string> lost;
        std::ranges::set_difference(old_names, new_names, std::back_inserter(lost));
        CHECK(lost.size() <= 2);
        changed += lost.size();
    }
    // The member was in about 140 of the 2000 subsets. Its zone's part falls by 3.5 / 50, which moves about 140 more of
    // the 28,000 connections to other zones; the rest of the bound is for the variance.
    CHECK(changed <= 320);
    std::vector<endpoint> reversed{before.rbegin(), before.rend()};
    CHECK(names("node-1", before, 14) == names("node-1", reversed, 14));
}
