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

std::set<std::string> subset_ids(const std::string& self, const std::vector<endpoint>& members, std::size_t size)
{
    std::set<std::string> ids;
    for (const std::size_t index : subset(self, members, size))
    {
        ids.insert(members[index].id);
    }
    return ids;
}

} // namespace

TEST_GROUP(subset){};

// With thousands of nodes, an uneven choice of subsets would give some endpoints more connections than their limit.
TEST(subset, connections_per_endpoint_stay_within_the_limit)
{
    struct fleet_size
    {
        std::size_t callers;
        std::size_t members;
        std::size_t zones;
    };
    constexpr std::size_t limit = 260;
    for (const fleet_size& fleet :
         {fleet_size{4000, 200, 24}, fleet_size{5000, 150, 4}, fleet_size{3000, 90, 3}, fleet_size{200, 14, 4}})
    {
        const std::vector<endpoint> members = make_members(fleet.members, fleet.zones);
        const std::size_t size = subset_size(fleet.callers, fleet.members, limit);
        std::vector<std::size_t> connections(fleet.members, 0);
        for (std::size_t caller = 0; caller < fleet.callers; ++caller)
        {
            for (const std::size_t index : subset("node-" + std::to_string(caller), members, size))
            {
                ++connections[index];
            }
        }
        const double mean = static_cast<double>(fleet.callers * size) / static_cast<double>(fleet.members);
        CHECK(std::ranges::max(connections) <= limit);
        CHECK(static_cast<double>(std::ranges::min(connections)) >= mean * 0.6);
    }
    CHECK_EQUAL(0, subset_size(10, 0, limit));
}

// A subset within one zone would lose all of its endpoints when that zone fails.
TEST(subset, represents_zones_in_proportion)
{
    const std::vector<endpoint> members = make_members(120, 4);
    for (int caller = 0; caller < 500; ++caller)
    {
        const auto selected = subset("node-" + std::to_string(caller), members, 14);
        CHECK_EQUAL(14, selected.size());
        for (const char* zone : {"zone-0", "zone-1", "zone-2", "zone-3"})
        {
            const auto in_zone = std::ranges::count_if(selected, [&](std::size_t index)
                                                       { return members[index].availability_zone == zone; });
            CHECK(in_zone >= 3 && in_zone <= 4);
        }
    }
    CHECK_EQUAL(5, subset("node", make_members(5, 2), 14).size());
}

// A subset that depends on the whole list would reconnect the fleet when one member joins or leaves.
TEST(subset, is_stable_under_churn)
{
    const std::vector<endpoint> before = make_members(200, 4);
    std::vector<endpoint> after = before;
    after.erase(after.begin() + 77);
    std::size_t changed = 0;
    for (int caller = 0; caller < 2000; ++caller)
    {
        const std::string self = "node-" + std::to_string(caller);
        const std::set<std::string> old_ids = subset_ids(self, before, 14);
        const std::set<std::string> new_ids = subset_ids(self, after, 14);
        std::vector<std::string> removed;
        std::ranges::set_difference(old_ids, new_ids, std::back_inserter(removed));
        CHECK(removed.size() <= 2);
        changed += removed.size();
    }
    // The removed member was in about 140 of the 2000 subsets. The share of its zone falls by 3.5 / 50, which moves
    // about 140 more of the 28,000 connections to other zones. The remainder of the bound allows for the variance.
    CHECK(changed <= 320);
    std::vector<endpoint> reversed{before.rbegin(), before.rend()};
    CHECK(subset_ids("node-1", before, 14) == subset_ids("node-1", reversed, 14));
}
