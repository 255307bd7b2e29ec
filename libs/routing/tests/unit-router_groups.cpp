#include "router_fixture.hpp"

#include <array>  // array
#include <map>    // map
#include <random> // mt19937_64
#include <string> // string

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace poplarport::routing;
using poplarport::core::node_id;

// Load patterns of large groups, in which a node has reports of few endpoints.
TEST_GROUP(router_groups){};

// Pattern: all nodes have just started, and none has sent a report. A receiver on a slow VM must still find a peer, and
// not one whose VM has announced that it is slow too.
TEST(router_groups, a_peer_without_a_report_is_chosen_by_its_announced_speed)
{
    std::mt19937_64 random_engine{5};
    router tested_router = make_router(make_endpoints(4));
    const std::array<node_id, 1> self{three_endpoints[0].id};
    tested_router.on_slowdown_notice(three_endpoints[0].id, 100, start);
    tested_router.on_slowdown_notice(three_endpoints[1].id, 700, start);
    std::map<std::string, int> counts;
    for (int iteration = 0; iteration < 100; ++iteration)
    {
        ++counts[tested_router.best_unreported_peer({self}, start, random_engine)->target->id];
    }
    // The two others are equal; if all receivers named the same one, it would be overloaded.
    LONGS_EQUAL(2, counts.size());
    CHECK_FALSE(counts.contains(three_endpoints[1].id));
    for (const endpoint& target : make_endpoints(4))
    {
        tested_router.on_report(target.id, make_report(0), start);
    }
    CHECK_FALSE(tested_router.best_unreported_peer({self}, start, random_engine).has_value());
}

// Pattern: all upstreams have restarted after a loss of power and are cold, so that work takes twice as long
// everywhere. A receiver that expected the others to have their usual speed would refuse every request, as would all
// others.
TEST(router_groups, a_peer_without_a_report_is_expected_to_be_as_slow_as_the_known_ones)
{
    std::mt19937_64 random_engine{5};
    router tested_router = make_router(make_endpoints(6));
    const std::array<node_id, 1> self{three_endpoints[0].id};
    const auto local_extra = 10ms; // of one service time on a VM of half the speed
    tested_router.on_slowdown_notice(three_endpoints[0].id, 200, start);
    CHECK(tested_router.best_unreported_peer({self}, start, random_engine)->expected_wait >= local_extra);
    tested_router.on_slowdown_notice(three_endpoints[1].id, 1400, start);
    tested_router.on_slowdown_notice(three_endpoints[2].id, 200, start);
    CHECK(tested_router.best_unreported_peer({self}, start, random_engine)->expected_wait >= local_extra);
    // Also when the notices have expired as statements about their endpoints.
    CHECK(tested_router.best_unreported_peer({self}, start + 2s, random_engine)->expected_wait >= local_extra);
    // A peer known to be faster is still a better one.
    tested_router.on_slowdown_notice(three_endpoints[2].id, 100, start + 2s);
    const auto best = tested_router.best_unreported_peer({self}, start + 2s, random_engine);
    STRCMP_EQUAL(three_endpoints[2].id.c_str(), best->target->id.c_str());
    CHECK(best->expected_wait < local_extra);
}

// Pattern: a VM is lost without a word. Its endpoint looks idle, and it is declared dead only after about ten seconds
// in a group of hundreds; until then it must not attract work once a probe has failed.
TEST(router_groups, a_suspect_endpoint_is_used_only_if_nothing_else_is_left)
{
    std::mt19937_64 random_engine{5};
    router tested_router = make_router(three_endpoints);
    for (const endpoint& target : three_endpoints)
    {
        tested_router.on_report(target.id, make_report(target.id == three_endpoints[0].id ? 0 : 6), start);
    }
    auto suspect = three_endpoints[0];
    suspect.suspect = true;
    tested_router.update_endpoint(suspect, start);
    CHECK(tested_router.best_peer({}, start)->target->id != suspect.id);
    for (int iteration = 0; iteration < 20; ++iteration)
    {
        CHECK(tested_router.pick({}, start, random_engine)->target->id != suspect.id);
    }
    const std::array<node_id, 2> others{three_endpoints[1].id, three_endpoints[2].id};
    STRCMP_EQUAL(suspect.id.c_str(), tested_router.pick({others}, start, random_engine)->target->id.c_str());
    // It refutes the suspicion.
    tested_router.update_endpoint(three_endpoints[0], start);
    STRCMP_EQUAL(suspect.id.c_str(), tested_router.best_peer({}, start)->target->id.c_str());
}

// Members change one at a time in a large group; a change must neither lose the state of other endpoints nor bring back
// an endpoint that was removed.
TEST(router_groups, single_changes_keep_the_state_of_other_endpoints)
{
    std::mt19937_64 random_engine{5};
    router tested_router = make_router(three_endpoints);
    tested_router.on_report(three_endpoints[0].id, make_report(7), start);
    tested_router.on_sent(three_endpoints[0].id, start);
    tested_router.remove_endpoint(three_endpoints[1].id);
    tested_router.remove_endpoint("unknown");
    auto restarted = three_endpoints[2];
    ++restarted.incarnation;
    tested_router.update_endpoint(restarted, start);
    auto draining = three_endpoints[0];
    draining.draining = true;
    tested_router.update_endpoint(draining, start);
    LONGS_EQUAL(2, tested_router.size());
    LONGS_EQUAL(7, tested_router.report_of(three_endpoints[0].id, start)->report.in_flight);
    LONGS_EQUAL(1, tested_router.report_of(three_endpoints[0].id, start)->local_calls);
    CHECK_FALSE(tested_router.report_of(three_endpoints[1].id, start).has_value());
    for (int iteration = 0; iteration < 20; ++iteration)
    {
        STRCMP_EQUAL(restarted.id.c_str(), tested_router.pick({}, start, random_engine)->target->id.c_str());
    }
}
