#include "router_fixture.hpp"

#include <array>     // array
#include <map>       // map
#include <random>    // mt19937_64
#include <stdexcept> // invalid_argument
#include <string>    // string, to_string
#include <vector>    // vector

#include <CppUTest/TestHarness.h> // before the headers below, which need its definitions

#include <CppUTest/MemoryLeakDetector.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace std::chrono_literals;
using namespace poplarport::routing;
using poplarport::core::load_report;
using poplarport::core::node_id;
using poplarport::core::time_point;

TEST_GROUP(router){};

// The load of an endpoint consists of the local calls in flight and of the load that other senders cause; a score that
// leaves out either one sends more calls to a busy endpoint.
TEST(router, prefers_the_endpoint_with_less_load)
{
    router tested_router = make_router(three_endpoints);
    for (const endpoint& target : three_endpoints)
    {
        tested_router.on_report(target.id, make_report(target.id == three_endpoints[1].id ? 7 : 0), start);
    }
    CHECK_EQUAL(0, count_picks(tested_router, start)[three_endpoints[1].id]);
    CHECK(count_picks(tested_router, start + 10s)[three_endpoints[1].id] > 0);
    for (int call = 0; call < 8; ++call)
    {
        tested_router.on_sent(three_endpoints[0].id, start + 10s);
    }
    CHECK_EQUAL(0, count_picks(tested_router, start + 10s)[three_endpoints[0].id]);
}

// Local calls would count twice if they were added both as calls in flight and as part of the report.
TEST(router, local_calls_in_a_report_count_once)
{
    router tested_router = make_router(make_endpoints(2));
    for (int call = 0; call < 4; ++call)
    {
        tested_router.on_sent(three_endpoints[0].id, start);
    }
    tested_router.on_report(three_endpoints[0].id, make_report(4), start);
    tested_router.on_report(three_endpoints[1].id, make_report(5), start);
    CHECK_EQUAL(300, count_picks(tested_router, start)[three_endpoints[0].id]);
}

// Endpoints that were tried, are draining or have failed must not be picked while another endpoint remains.
TEST(router, excludes_tried_draining_and_failed_endpoints)
{
    router tested_router = make_router(three_endpoints);
    const std::array<node_id, 1> tried{three_endpoints[0].id};
    load_report draining = make_report(0);
    draining.draining = true;
    tested_router.on_sent(three_endpoints[1].id, start);
    tested_router.on_refused(three_endpoints[1].id, draining, start);
    CHECK_EQUAL(300, count_picks(tested_router, start, {tried})[three_endpoints[2].id]);
    tested_router.on_sent(three_endpoints[2].id, start);
    tested_router.on_failed(three_endpoints[2].id, start);
    CHECK_EQUAL(300, count_picks(tested_router, start)[three_endpoints[0].id]);
    CHECK(count_picks(tested_router, start + 101ms)[three_endpoints[2].id] > 0);
    CHECK(count_picks(tested_router, start, {tried})[three_endpoints[2].id] == 300); // the last resort
    const std::array<node_id, 2> all_not_draining{three_endpoints[0].id, three_endpoints[2].id};
    CHECK_EQUAL(300, count_picks(tested_router, start, {all_not_draining})["none"]);
    CHECK(tested_router.no_endpoint_reason({all_not_draining}) == errors::all_endpoints_draining);
    tested_router.set_endpoints({}, start);
    CHECK(tested_router.no_endpoint_reason({}) == errors::no_endpoint_known);
}

// A new list of endpoints must not clear the draining state of an endpoint; a restart of its node must.
TEST(router, keeps_state_of_remaining_endpoints)
{
    router tested_router = make_router(three_endpoints);
    load_report draining = make_report(0);
    draining.draining = true;
    tested_router.on_report(three_endpoints[1].id, draining, start);
    tested_router.set_endpoints(make_endpoints(4), start);
    CHECK_EQUAL(0, count_picks(tested_router, start)[three_endpoints[1].id]);
    std::vector<endpoint> restarted = make_endpoints(4);
    restarted[1].incarnation = 2;
    tested_router.set_endpoints(restarted, start);
    CHECK(count_picks(tested_router, start + 10s)[three_endpoints[1].id] > 0);
}

// An idle hint that is used more than once attracts too many calls, and one that does not expire is used when the
// endpoint is busy again.
TEST(router, idle_hint_is_used_once_and_expires)
{
    std::mt19937_64 random_engine{5};
    router tested_router = make_router(make_endpoints(14));
    for (const endpoint& target : make_endpoints(14))
    {
        tested_router.on_report(target.id, make_report(8), start);
    }
    const auto picks_hinted_endpoint = [&](time_point now)
    {
        const auto picked = tested_router.pick({}, now, random_engine);
        return picked->reason == pick_reason::idle_hint && picked->target->id == three_endpoints[2].id;
    };
    tested_router.on_idle_hint(three_endpoints[2].id, 8, start);
    CHECK_TRUE(picks_hinted_endpoint(start));
    CHECK_FALSE(picks_hinted_endpoint(start));
    tested_router.on_idle_hint(three_endpoints[2].id, 8, start);
    CHECK_FALSE(picks_hinted_endpoint(start + 20ms));
}

// Calls must not cross zones while the local zone has capacity, and must not stay in a zone that is overloaded.
TEST(router, zone_cost_is_weighed_against_load)
{
    router tested_router = make_router(make_endpoints(2, 2));
    tested_router.on_report(three_endpoints[0].id, make_report(0), start);
    tested_router.on_report(three_endpoints[1].id, make_report(0), start);
    CHECK_EQUAL(300, count_picks(tested_router, start)[three_endpoints[0].id]);
    tested_router.on_report(three_endpoints[0].id, make_report(7), start);
    CHECK_EQUAL(300, count_picks(tested_router, start)[three_endpoints[1].id]);
}

// A straggler must lose its share of the calls, but must be probed so that it is used again after it has recovered.
TEST(router, flagged_straggler_is_probed_and_recovers)
{
    std::mt19937_64 random_engine{5};
    router tested_router = make_router(three_endpoints);
    for (const endpoint& target : three_endpoints)
    {
        tested_router.on_report(target.id, make_report(0, target.id == three_endpoints[1].id ? 100ms : 10ms), start);
    }
    // The median includes all three reports only from here on.
    tested_router.on_report(three_endpoints[1].id, make_report(0, 100ms), start);
    CHECK_TRUE(tested_router.is_flagged(three_endpoints[1].id, start));
    tested_router.on_report(three_endpoints[1].id, make_report(0, 100ms), start + 1s);
    CHECK_EQUAL(0, count_picks(tested_router, start + 1500ms)[three_endpoints[1].id]);
    const time_point probe_at = start + 2s;
    CHECK(tested_router.pick({}, probe_at, random_engine)->reason == pick_reason::straggler_probe);
    CHECK(tested_router.pick({}, probe_at, random_engine)->reason == pick_reason::score);
    tested_router.on_sent(three_endpoints[1].id, probe_at);
    tested_router.on_response(three_endpoints[1].id, make_report(0, 10ms), 10ms, probe_at + 10ms);
    CHECK_FALSE(tested_router.is_flagged(three_endpoints[1].id, probe_at + 10ms));
    CHECK(count_picks(tested_router, start + 10s)[three_endpoints[1].id] > 0);
}

// A slow network path does not appear in the service time that an endpoint reports, only in the latency of calls.
TEST(router, flags_stragglers_by_the_latency_of_local_calls)
{
    router tested_router = make_router(three_endpoints);
    for (int round = 0; round < 20; ++round)
    {
        for (const endpoint& target : three_endpoints)
        {
            const auto latency = target.id == three_endpoints[2].id ? 100ms : 10ms;
            const time_point sent_at = start + round * 100ms;
            tested_router.on_sent(target.id, sent_at);
            tested_router.on_response(target.id, make_report(0), latency, sent_at + latency);
        }
    }
    CHECK_TRUE(tested_router.is_flagged(three_endpoints[2].id, start + 2s));
    CHECK_FALSE(tested_router.is_flagged(three_endpoints[0].id, start + 2s));
}

// A new endpoint must not receive its full share of the calls while it is cold.
TEST(router, cold_endpoint_is_ramped_up)
{
    router tested_router = make_router(three_endpoints);
    tested_router.set_endpoints(make_endpoints(4), start);
    const std::string cold = make_endpoints(4)[3].id;
    for (const endpoint& target : three_endpoints)
    {
        tested_router.on_report(target.id, make_report(4), start);
    }
    CHECK_EQUAL(0, count_picks(tested_router, start)[cold]);
    CHECK(count_picks(tested_router, start + 1s)[cold] > 0);
}

// A query is wasted if the report is recent or if the endpoint has just been queried.
TEST(router, queries_only_outdated_reports_by_the_two_weights)
{
    for (const bool is_tail_first : {true, false})
    {
        router tested_router = router::builder{}.weights(is_tail_first ? 1.0 : 0.0, is_tail_first ? 0.0 : 1.0).build();
        tested_router.set_endpoints(make_endpoints(2), start);
        tested_router.on_report(three_endpoints[0].id, make_report(0), start);
        tested_router.on_report(three_endpoints[1].id, make_report(0), start + 50ms);
        CHECK(tested_router.next_probe(start + 60ms) == nullptr);
        const auto stale = tested_router.next_probe(start + 65ms);
        CHECK_EQUAL(is_tail_first, stale != nullptr);
        CHECK(tested_router.next_probe(start + 65ms) == nullptr);
        CHECK(tested_router.next_probe(start + 4s) != nullptr);
    }
    CHECK_THROWS(std::invalid_argument, static_cast<void>(router::builder{}.weights(0.0, 0.0).build()));
}

// A receiver must not name itself, a draining endpoint or one without a report as the better peer.
TEST(router, best_peer_has_the_minimum_expected_wait)
{
    router tested_router = make_router(three_endpoints);
    CHECK_FALSE(tested_router.best_peer({}, start).has_value());
    tested_router.on_report(three_endpoints[0].id, make_report(0), start);
    tested_router.on_report(three_endpoints[1].id, make_report(7), start);
    const std::array<node_id, 1> self{three_endpoints[0].id};
    STRCMP_EQUAL(three_endpoints[1].id.c_str(), tested_router.best_peer({self}, start)->target->id.c_str());
}

// An endpoint that reports free slots but refuses calls must not continue to attract calls and redirects.
TEST(router, unexpected_refusals_lower_the_confidence_in_reports)
{
    std::mt19937_64 random_engine{5};
    router tested_router = make_router(three_endpoints);
    for (int round = 0; round < 20; ++round)
    {
        tested_router.on_report(three_endpoints[0].id, make_report(0), start);
        tested_router.on_report(three_endpoints[1].id, make_report(4), start);
        tested_router.on_report(three_endpoints[2].id, make_report(4), start);
        tested_router.on_sent(three_endpoints[0].id, start);
        tested_router.on_refused(three_endpoints[0].id, make_report(0), start);
    }
    const double low_confidence_fraction = count_picks(tested_router, start)[three_endpoints[0].id] / 300.0;
    CHECK(low_confidence_fraction < 0.7); // two of the three candidate pairs contain the endpoint
    CHECK(tested_router.best_peer({}, start)->target->id != three_endpoints[0].id);
    tested_router.on_idle_hint(three_endpoints[0].id, 8, start);
    CHECK(tested_router.pick({}, start, random_engine)->reason == pick_reason::score);
}

// Without an estimate of redirected calls, one idle peer is named for all calls refused at the same time.
TEST(router, redirected_calls_temporarily_count_as_load)
{
    router tested_router = make_router(three_endpoints);
    for (const endpoint& target : three_endpoints)
    {
        tested_router.on_report(target.id, make_report(target.id == three_endpoints[0].id ? 2 : 4), start);
    }
    STRCMP_EQUAL(three_endpoints[0].id.c_str(), tested_router.best_peer({}, start)->target->id.c_str());
    for (int call = 0; call < 3; ++call)
    {
        tested_router.on_redirected(three_endpoints[0].id, start);
    }
    CHECK(tested_router.best_peer({}, start)->target->id != three_endpoints[0].id);
    tested_router.on_report(three_endpoints[0].id, make_report(2), start + 1s);
    tested_router.on_report(three_endpoints[1].id, make_report(4), start + 1s);
    tested_router.on_report(three_endpoints[2].id, make_report(4), start + 1s);
    STRCMP_EQUAL(three_endpoints[0].id.c_str(), tested_router.best_peer({}, start + 1s)->target->id.c_str());
}

// Idle hints are wasted messages while every endpoint is idle or if the sender is busy itself.
TEST(router, idle_hint_is_useful_only_if_peers_are_busier)
{
    struct hint_case
    {
        double tail_latency_weight;
        std::uint32_t peer_load;
        std::uint32_t local_load;
        bool is_useful;
    };
    for (const hint_case& sample :
         {hint_case{1.0, 7, 4, true}, hint_case{1.0, 2, 1, false}, hint_case{1.0, 7, 8, false},
          hint_case{0.0, 7, 4, false}, hint_case{0.0, 9, 4, true}})
    {
        router tested_router =
            router::builder{}.weights(sample.tail_latency_weight, 1.0 - sample.tail_latency_weight).build();
        tested_router.set_endpoints(three_endpoints, start);
        for (const endpoint& peer : three_endpoints)
        {
            tested_router.on_report(peer.id, make_report(sample.peer_load), start);
        }
        CHECK_EQUAL(sample.is_useful, tested_router.is_hint_useful(make_report(sample.local_load), start));
    }
}

// Every call picks an endpoint, so an allocation there adds to the latency of every call.
TEST(router, pick_does_not_allocate)
{
    std::mt19937_64 random_engine{5};
    router tested_router = make_router(make_endpoints(14, 3));
    bool all_picked = true;
    MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
    MemoryLeakDetector* detector = MemoryLeakWarningPlugin::getGlobalDetector();
    const unsigned before = detector->getCurrentAllocationNumber();
    for (int iteration = 0; iteration < 1000; ++iteration)
    {
        all_picked = all_picked && tested_router.pick({}, start, random_engine).has_value();
    }
    const unsigned after = detector->getCurrentAllocationNumber();
    int* volatile counted = new int{0}; // shows that the detector counts
    delete counted;
    const unsigned control = detector->getCurrentAllocationNumber();
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    CHECK_EQUAL(before, after);
    CHECK(control > after);
    CHECK_TRUE(all_picked);
}

// Requests must not start on a VM that is slowed down by its neighbours while another VM runs at normal speed.
TEST(router, avoids_a_slow_vm_while_its_report_is_recent)
{
    router tested_router = router::builder{}.availability_zone("zone-0").compare_all(true).build();
    tested_router.set_endpoints(three_endpoints, start);
    auto slow = make_report(0, 100ms);
    slow.slowdown_percent = 700;
    tested_router.on_report(three_endpoints[0].id, slow, start);
    tested_router.on_report(three_endpoints[1].id, make_report(6, 100ms), start);
    tested_router.on_report(three_endpoints[2].id, make_report(6, 100ms), start);
    CHECK_EQUAL(0, count_picks(tested_router, start)[three_endpoints[0].id]);
    const auto best = tested_router.best_peer({{}}, start);
    CHECK(best && best->target->id != three_endpoints[0].id);
    // An outdated report does not show the current speed.
    CHECK(count_picks(tested_router, start + 1600ms)[three_endpoints[0].id] > 0);
}

// Traffic between zones is avoidable while the upstream in the local zone is half loaded, but the preference for the
// local zone must not overload that upstream.
TEST(router, stays_in_the_local_zone_up_to_the_preference)
{
    struct zone_case
    {
        const char* name;
        std::uint32_t local_zone_load; ///< of 8 slots in use
        bool stays;
    };
    const std::vector<zone_case> cases{{"idle", 0, true}, {"half", 4, true}, {"nearly full", 7, false}};
    const auto endpoints = make_endpoints(2, 2);
    for (const auto& sample : cases)
    {
        router tested_router =
            router::builder{}.availability_zone("zone-0").zone_cost(1ms).zone_preference(0.8).compare_all(true).build();
        tested_router.set_endpoints(endpoints, start);
        tested_router.on_report(endpoints[0].id, make_report(sample.local_zone_load, 100ms), start);
        tested_router.on_report(endpoints[1].id, make_report(0, 100ms), start);
        CHECK_EQUAL_TEXT(sample.stays ? 300 : 0, count_picks(tested_router, start)[endpoints[0].id], sample.name);
    }
}

// If a slowdown notice also reset the load, all senders would switch to that endpoint as if it were idle.
TEST(router, slowdown_notice_does_not_change_the_load)
{
    router tested_router = router::builder{}.availability_zone("zone-0").compare_all(true).build();
    tested_router.set_endpoints(three_endpoints, start);
    auto busy = make_report(6, 100ms);
    busy.slowdown_percent = 700;
    tested_router.on_report(three_endpoints[0].id, busy, start);
    tested_router.on_report(three_endpoints[1].id, make_report(4, 100ms), start);
    tested_router.on_report(three_endpoints[2].id, make_report(4, 100ms), start);
    tested_router.on_slowdown_notice(three_endpoints[0].id, 100, start);
    CHECK_EQUAL(0, count_picks(tested_router, start)[three_endpoints[0].id]);
    LONGS_EQUAL(6, tested_router.report_of(three_endpoints[0].id, start)->report.in_flight);
    tested_router.on_slowdown_notice(three_endpoints[1].id, 700, start);
    CHECK_EQUAL(300, count_picks(tested_router, start)[three_endpoints[2].id]);
}

// Endpoints without a report once counted as many times faster than the remaining ones and attracted a surge of calls.
TEST(router, endpoint_without_a_report_counts_as_average)
{
    const auto endpoints = make_endpoints(2, 2);
    router tested_router =
        router::builder{}.availability_zone("zone-0").zone_cost(1ms).zone_preference(0.8).compare_all(true).build();
    tested_router.set_endpoints(endpoints, start);
    tested_router.on_report(endpoints[0].id, make_report(2, 100ms), start);
    CHECK_EQUAL(300, count_picks(tested_router, start)[endpoints[0].id]);
}
