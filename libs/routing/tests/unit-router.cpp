#include "poplarport/routing/router.hpp"

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

namespace
{

constexpr time_point start{1h};

std::vector<endpoint> make_endpoints(std::size_t count, std::size_t zones = 1)
{
    std::vector<endpoint> endpoints;
    for (std::size_t index = 0; index < count; ++index)
    {
        const std::string zone = "zone-" + std::to_string(index % zones);
        endpoints.push_back({"endpoint-with-a-long-name-" + std::to_string(index), zone, {"10.0.0.1", 80}, 1, false});
    }
    return endpoints;
}

const std::vector<endpoint> three = make_endpoints(3);

router make_router(std::vector<endpoint> endpoints)
{
    router value = router::builder{}.availability_zone("zone-0").build();
    value.set_endpoints(std::move(endpoints), start);
    return value;
}

load_report make_report(std::uint32_t in_flight, poplarport::core::duration service_time = 10ms)
{
    return {8, in_flight, 0, std::chrono::duration_cast<std::chrono::microseconds>(service_time), false};
}

// Counts the choices of many picks at one instant.
std::map<std::string, int> count_picks(router& value, time_point now, const pick_request& request = {})
{
    std::mt19937_64 random{5};
    std::map<std::string, int> counts;
    for (int repeat = 0; repeat < 300; ++repeat)
    {
        const auto chosen = value.pick(request, now, random);
        ++counts[chosen ? chosen->target->id : "none"];
    }
    return counts;
}

} // namespace

TEST_GROUP(router){};

// Guards against sending more calls to an endpoint that already has many, own or others'.
TEST(router, prefers_the_endpoint_with_less_load)
{
    router value = make_router(three);
    for (const endpoint& item : three)
    {
        value.on_report(item.id, make_report(item.id == three[1].id ? 7 : 0), start);
    }
    CHECK_EQUAL(0, count_picks(value, start)[three[1].id]);
    CHECK(count_picks(value, start + 10s)[three[1].id] > 0);
    for (int call = 0; call < 8; ++call)
    {
        value.on_sent(three[0].id, start + 10s);
    }
    CHECK_EQUAL(0, count_picks(value, start + 10s)[three[0].id]);
}

// Guards against counting own calls twice, once as in flight and once in the report.
TEST(router, own_calls_in_a_report_count_once)
{
    router value = make_router(make_endpoints(2));
    for (int call = 0; call < 4; ++call)
    {
        value.on_sent(three[0].id, start);
    }
    value.on_report(three[0].id, make_report(4), start);
    value.on_report(three[1].id, make_report(5), start);
    CHECK_EQUAL(300, count_picks(value, start)[three[0].id]);
}

// Guards against calls to endpoints that must not get any.
TEST(router, leaves_out_tried_draining_and_failed_endpoints)
{
    router value = make_router(three);
    const std::array<node_id, 1> tried{three[0].id};
    load_report draining = make_report(0);
    draining.draining = true;
    value.on_sent(three[1].id, start);
    value.on_refused(three[1].id, draining, start);
    CHECK_EQUAL(300, count_picks(value, start, {tried})[three[2].id]);
    value.on_sent(three[2].id, start);
    value.on_failed(three[2].id, start);
    CHECK_EQUAL(300, count_picks(value, start)[three[0].id]);
    CHECK(count_picks(value, start + 101ms)[three[2].id] > 0);
    CHECK(count_picks(value, start, {tried})[three[2].id] == 300); // the last resort
    const std::array<node_id, 2> all_left{three[0].id, three[2].id};
    CHECK_EQUAL(300, count_picks(value, start, {all_left})["none"]);
    CHECK(value.no_endpoint_reason({all_left}) == errors::all_endpoints_draining);
    value.set_endpoints({}, start);
    CHECK(value.no_endpoint_reason({}) == errors::no_endpoint_known);
}

// Guards against a drain that is forgotten when the list of endpoints is replaced, and against one that survives a
// restart of the node.
TEST(router, keeps_state_of_endpoints_that_remain)
{
    router value = make_router(three);
    load_report draining = make_report(0);
    draining.draining = true;
    value.on_report(three[1].id, draining, start);
    value.set_endpoints(make_endpoints(4), start);
    CHECK_EQUAL(0, count_picks(value, start)[three[1].id]);
    std::vector<endpoint> restarted = make_endpoints(4);
    restarted[1].incarnation = 2;
    value.set_endpoints(restarted, start);
    CHECK(count_picks(value, start + 10s)[three[1].id] > 0);
}

// Guards against an idle hint that attracts all senders' calls, or that is believed long after it was sent.
TEST(router, idle_hint_is_used_up_by_one_pick_and_expires)
{
    std::mt19937_64 random{5};
    router value = make_router(make_endpoints(14));
    for (const endpoint& item : make_endpoints(14))
    {
        value.on_report(item.id, make_report(8), start);
    }
    const auto hinted = [&](time_point now)
    {
        const auto chosen = value.pick({}, now, random);
        return chosen->reason == pick_reason::idle_hint && chosen->target->id == three[2].id;
    };
    value.on_idle_hint(three[2].id, 8, start);
    CHECK_TRUE(hinted(start));
    CHECK_FALSE(hinted(start));
    value.on_idle_hint(three[2].id, 8, start);
    CHECK_FALSE(hinted(start + 20ms));
}

// Guards against crossing zones without need, and against staying in a zone that is overloaded.
TEST(router, zone_cost_is_weighed_against_load)
{
    router value = make_router(make_endpoints(2, 2));
    value.on_report(three[0].id, make_report(0), start);
    value.on_report(three[1].id, make_report(0), start);
    CHECK_EQUAL(300, count_picks(value, start)[three[0].id]);
    value.on_report(three[0].id, make_report(7), start);
    CHECK_EQUAL(300, count_picks(value, start)[three[1].id]);
}

// Guards against a straggler that keeps its part of the calls, and against one that is avoided for ever.
TEST(router, straggler_mark_expires_and_lets_a_trial_through)
{
    std::mt19937_64 random{5};
    router value = make_router(three);
    for (const endpoint& item : three)
    {
        value.on_report(item.id, make_report(0, item.id == three[1].id ? 100ms : 10ms), start);
    }
    value.on_report(three[1].id, make_report(0, 100ms), start); // the median is known only now
    CHECK_TRUE(value.is_flagged(three[1].id, start));
    value.on_report(three[1].id, make_report(0, 100ms), start + 1s);
    CHECK_EQUAL(0, count_picks(value, start + 1500ms)[three[1].id]);
    const time_point trial_at = start + 2s;
    CHECK(value.pick({}, trial_at, random)->reason == pick_reason::straggler_probe);
    CHECK(value.pick({}, trial_at, random)->reason == pick_reason::score);
    value.on_sent(three[1].id, trial_at);
    value.on_response(three[1].id, make_report(0, 10ms), 10ms, trial_at + 10ms);
    CHECK_FALSE(value.is_flagged(three[1].id, trial_at + 10ms));
    CHECK(count_picks(value, start + 10s)[three[1].id] > 0);
}

// Guards against a slow path that is not noticed because the endpoint reports a good service time.
TEST(router, marks_by_the_latency_of_own_calls)
{
    router value = make_router(three);
    for (int round = 0; round < 20; ++round)
    {
        for (const endpoint& item : three)
        {
            const auto latency = item.id == three[2].id ? 100ms : 10ms;
            const time_point sent_at = start + round * 100ms;
            value.on_sent(item.id, sent_at);
            value.on_response(item.id, make_report(0), latency, sent_at + latency);
        }
    }
    CHECK_TRUE(value.is_flagged(three[2].id, start + 2s));
    CHECK_FALSE(value.is_flagged(three[0].id, start + 2s));
}

// Guards against a new endpoint that gets its full part of the calls while it is cold.
TEST(router, cold_endpoint_is_ramped_up)
{
    router value = make_router(three);
    value.set_endpoints(make_endpoints(4), start);
    const std::string cold = make_endpoints(4)[3].id;
    for (const endpoint& item : three)
    {
        value.on_report(item.id, make_report(4), start);
    }
    CHECK_EQUAL(0, count_picks(value, start)[cold]);
    CHECK(count_picks(value, start + 1s)[cold] > 0);
}

// Guards against messages that ask for a load that is known, or that ask one endpoint again and again.
TEST(router, probes_only_stale_entries_by_the_two_weights)
{
    for (const bool is_tail_first : {true, false})
    {
        router value = router::builder{}.weights(is_tail_first ? 1.0 : 0.0, is_tail_first ? 0.0 : 1.0).build();
        value.set_endpoints(make_endpoints(2), start);
        value.on_report(three[0].id, make_report(0), start);
        value.on_report(three[1].id, make_report(0), start + 50ms);
        CHECK(value.next_probe(start + 60ms) == nullptr);
        const auto stale = value.next_probe(start + 65ms);
        CHECK_EQUAL(is_tail_first, stale != nullptr);
        CHECK(value.next_probe(start + 65ms) == nullptr);
        CHECK(value.next_probe(start + 4s) != nullptr);
    }
    CHECK_THROWS(std::invalid_argument, static_cast<void>(router::builder{}.weights(0.0, 0.0).build()));
}

// Guards against a receiver that names itself, a draining or an unknown endpoint as better placed.
TEST(router, best_peer_has_the_least_expected_wait)
{
    router value = make_router(three);
    CHECK_FALSE(value.best_peer({}, start).has_value());
    value.on_report(three[0].id, make_report(0), start);
    value.on_report(three[1].id, make_report(7), start);
    const std::array<node_id, 1> self{three[0].id};
    STRCMP_EQUAL(three[1].id.c_str(), value.best_peer({self}, start)->target->id.c_str());
}

// Guards against an endpoint that attracts calls and redirects with wrong reports although it refuses the calls.
TEST(router, refusals_that_reports_did_not_foretell_lower_the_trust_in_them)
{
    std::mt19937_64 random{5};
    router value = make_router(three);
    for (int round = 0; round < 20; ++round)
    {
        value.on_report(three[0].id, make_report(0), start);
        value.on_report(three[1].id, make_report(4), start);
        value.on_report(three[2].id, make_report(4), start);
        value.on_sent(three[0].id, start);
        value.on_refused(three[0].id, make_report(0), start);
    }
    const double untrusted_part = count_picks(value, start)[three[0].id] / 300.0;
    CHECK(untrusted_part < 0.7); // two of three pairs of candidates contain the endpoint
    CHECK(value.best_peer({}, start)->target->id != three[0].id);
    value.on_idle_hint(three[0].id, 8, start);
    CHECK(value.pick({}, start, random)->reason == pick_reason::score);
}

// Guards against naming one idle peer for all refused calls of the same moment.
TEST(router, redirected_calls_count_as_load_for_a_while)
{
    router value = make_router(three);
    for (const endpoint& item : three)
    {
        value.on_report(item.id, make_report(item.id == three[0].id ? 2 : 4), start);
    }
    STRCMP_EQUAL(three[0].id.c_str(), value.best_peer({}, start)->target->id.c_str());
    for (int call = 0; call < 3; ++call)
    {
        value.on_redirected(three[0].id, start);
    }
    CHECK(value.best_peer({}, start)->target->id != three[0].id);
    value.on_report(three[0].id, make_report(2), start + 1s);
    value.on_report(three[1].id, make_report(4), start + 1s);
    value.on_report(three[2].id, make_report(4), start + 1s);
    STRCMP_EQUAL(three[0].id.c_str(), value.best_peer({}, start + 1s)->target->id.c_str());
}

// Guards against hints that cost messages while every endpoint is idle, or that come from a busy one.
TEST(router, idle_hint_is_useful_only_when_the_others_are_busier)
{
    struct hint_case
    {
        double tail_latency_weight;
        std::uint32_t others;
        std::uint32_t own;
        bool is_useful;
    };
    for (const hint_case& item : {hint_case{1.0, 7, 4, true}, hint_case{1.0, 2, 1, false}, hint_case{1.0, 7, 8, false},
                                  hint_case{0.0, 7, 4, false}, hint_case{0.0, 9, 4, true}})
    {
        router value = router::builder{}.weights(item.tail_latency_weight, 1.0 - item.tail_latency_weight).build();
        value.set_endpoints(three, start);
        for (const endpoint& other : three)
        {
            value.on_report(other.id, make_report(item.others), start);
        }
        CHECK_EQUAL(item.is_useful, value.is_hint_useful(make_report(item.own), start));
    }
}

// Guards against allocation on the path of every call.
TEST(router, pick_does_not_allocate)
{
    std::mt19937_64 random{5};
    router value = make_router(make_endpoints(14, 3));
    bool all_picked = true;
    MemoryLeakWarningPlugin::turnOnDefaultNotThreadSafeNewDeleteOverloads();
    MemoryLeakDetector* detector = MemoryLeakWarningPlugin::getGlobalDetector();
    const unsigned before = detector->getCurrentAllocationNumber();
    for (int repeat = 0; repeat < 1000; ++repeat)
    {
        all_picked = all_picked && value.pick({}, start, random).has_value();
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

// Guards against requests that start on a VM that its neighbours slow down, while another one runs at its usual speed.
TEST(router, avoids_a_slow_vm_while_its_report_is_recent)
{
    router value = router::builder{}.availability_zone("zone-0").compare_all(true).build();
    value.set_endpoints(three, start);
    auto slow = make_report(0, 100ms);
    slow.slowdown_percent = 700;
    value.on_report(three[0].id, slow, start);
    value.on_report(three[1].id, make_report(6, 100ms), start);
    value.on_report(three[2].id, make_report(6, 100ms), start);
    CHECK_EQUAL(0, count_picks(value, start)[three[0].id]);
    const auto best = value.best_peer({{}}, start);
    CHECK(best && best->target->id != three[0].id);
    // Later the report says nothing of the present speed.
    CHECK(count_picks(value, start + 1600ms)[three[0].id] > 0);
}

// Guards against traffic between zones that a half loaded upstream in the own zone would have spared, and against an
// upstream in the own zone that is overloaded for the sake of its zone.
TEST(router, stays_in_its_zone_up_to_the_preference)
{
    struct zone_case
    {
        const char* name;
        std::uint32_t load_at_home; ///< of 8 slots
        bool stays;
    };
    const std::vector<zone_case> cases{{"idle", 0, true}, {"half", 4, true}, {"nearly full", 7, false}};
    const auto endpoints = make_endpoints(2, 2);
    for (const auto& each : cases)
    {
        router value =
            router::builder{}.availability_zone("zone-0").zone_cost(1ms).zone_preference(0.8).compare_all(true).build();
        value.set_endpoints(endpoints, start);
        value.on_report(endpoints[0].id, make_report(each.load_at_home, 100ms), start);
        value.on_report(endpoints[1].id, make_report(0, 100ms), start);
        CHECK_EQUAL_TEXT(each.stays ? 300 : 0, count_picks(value, start)[endpoints[0].id], each.name);
    }
}

// Guards against senders that all turn to one endpoint, because a notice of its speed told them that it was idle.
TEST(router, a_change_of_speed_says_nothing_of_the_load)
{
    router value = router::builder{}.availability_zone("zone-0").compare_all(true).build();
    value.set_endpoints(three, start);
    auto busy = make_report(6, 100ms);
    busy.slowdown_percent = 700;
    value.on_report(three[0].id, busy, start);
    value.on_report(three[1].id, make_report(4, 100ms), start);
    value.on_report(three[2].id, make_report(4, 100ms), start);
    value.on_slowdown_notice(three[0].id, 100, start);
    CHECK_EQUAL(0, count_picks(value, start)[three[0].id]);
    LONGS_EQUAL(6, value.report_of(three[0].id, start)->report.in_flight);
    value.on_slowdown_notice(three[1].id, 700, start);
    CHECK_EQUAL(300, count_picks(value, start)[three[2].id]);
}

// Guards against a rush to endpoints that have not reported, which used to count as many times faster than the others.
TEST(router, an_endpoint_without_a_report_counts_as_an_average_one)
{
    const auto endpoints = make_endpoints(2, 2);
    router value =
        router::builder{}.availability_zone("zone-0").zone_cost(1ms).zone_preference(0.8).compare_all(true).build();
    value.set_endpoints(endpoints, start);
    value.on_report(endpoints[0].id, make_report(2, 100ms), start);
    CHECK_EQUAL(300, count_picks(value, start)[endpoints[0].id]);
}
