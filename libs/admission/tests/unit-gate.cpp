#include "poplarport/admission/gate.hpp"

#include <algorithm> // ranges::find
#include <map>       // map
#include <random>    // exponential_distribution, mt19937_64
#include <stdexcept> // invalid_argument
#include <string>    // string, to_string
#include <vector>    // vector

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using namespace poplarport::admission;
using poplarport::core::duration;
using poplarport::core::time_point;

namespace
{

constexpr time_point start{1h};

ticket make_ticket(const std::string& id, duration time_left, const std::string& tenant = "a", time_point now = start)
{
    return {id, tenant, "normal", now + time_left, std::nullopt};
}

gate make_gate(std::uint32_t slots, std::size_t capacity)
{
    return gate::builder{}.slots(slots).queue_capacity(capacity).build(start);
}

} // namespace

TEST_GROUP(gate){};

// Guards against more running requests than slots, and against a freed slot that no queued request receives.
TEST(gate, admits_up_to_the_slots_and_starts_the_queue_by_deadline)
{
    gate tested_gate = make_gate(2, 8);
    CHECK(tested_gate.offer(make_ticket("1", 1s), start).disposition == action::admit);
    CHECK(tested_gate.offer(make_ticket("2", 1s), start).disposition == action::admit);
    CHECK(tested_gate.offer(make_ticket("late", 3s), start).disposition == action::queue);
    CHECK(tested_gate.offer(make_ticket("soon", 2s), start).disposition == action::queue);
    CHECK(tested_gate.load(start) == (poplarport::core::load_report{2, 2, 2, 10ms, false}));
    const changes first = tested_gate.release("1", 10ms, start + 10ms);
    CHECK_EQUAL(1, first.started.size());
    STRCMP_EQUAL("soon", first.started[0].c_str());
    CHECK(tested_gate.release("unknown", 10ms, start + 10ms).started.empty());
    const changes second = tested_gate.cancel("2", start + 11ms);
    STRCMP_EQUAL("late", second.started.at(0).c_str());
    CHECK(tested_gate.cancel("late", start + 11ms).started.empty());
    CHECK_EQUAL(1, tested_gate.load(start + 11ms).in_flight);
}

// Guards against a refusal without its reason, and against queueing a request that should be refused immediately.
TEST(gate, refuses_at_once_with_a_typed_reason)
{
    gate tested_gate = make_gate(1, 2);
    CHECK(tested_gate.offer(make_ticket("past", 0s), start).reason == errors::deadline_passed);
    CHECK(tested_gate.offer(make_ticket("1", 1s), start).disposition == action::admit);
    CHECK(tested_gate.offer(make_ticket("1", 1s), start).reason == errors::duplicate_request);
    CHECK(tested_gate.offer(make_ticket("short", 15ms), start).reason == errors::deadline_unreachable);
    ticket redirectable = make_ticket("redirectable", 1s);
    redirectable.best_peer_wait = 2ms;
    CHECK(tested_gate.offer(redirectable, start).reason == errors::better_peer);
    redirectable.best_peer_wait = 1s;
    CHECK(tested_gate.offer(redirectable, start).disposition == action::queue);
    CHECK(tested_gate.offer(make_ticket("3", 1s), start).disposition == action::queue);
    CHECK(tested_gate.offer(make_ticket("4", 1s), start).reason == errors::queue_full);
    tested_gate.drain();
    CHECK(tested_gate.offer(make_ticket("5", 1s), start).reason == errors::draining);
    CHECK_TRUE(tested_gate.load(start).draining);
    CHECK_EQUAL(2, tested_gate.load(start).queued); // draining does not interrupt accepted requests
    CHECK_EQUAL(1, tested_gate.release("1", 1ms, start).started.size());
}

// A request whose deadline passed in the queue must not run.
TEST(gate, never_starts_a_ticket_after_its_deadline)
{
    std::mt19937_64 random{11};
    gate tested_gate = make_gate(3, 16);
    std::map<std::string, time_point> deadlines;
    std::vector<std::string> running;
    time_point now = start;
    const auto check_started = [&](const changes& result)
    {
        for (const std::string& id : result.started)
        {
            CHECK(deadlines.at(id) > now);
            running.push_back(id);
        }
        CHECK(running.size() <= 3);
    };
    for (int step = 0; step < 20'000; ++step)
    {
        now += std::chrono::microseconds{random() % 4000};
        const ticket offered =
            make_ticket(std::to_string(step), std::chrono::microseconds{random() % 60'000}, "a", now);
        deadlines[offered.id] = offered.deadline;
        if (tested_gate.offer(offered, now).disposition == action::admit)
        {
            check_started({{offered.id}, {}});
        }
        if (!running.empty() && random() % 2 == 0)
        {
            const std::string ended = running.front();
            running.erase(running.begin());
            check_started(tested_gate.release(ended, std::chrono::microseconds{random() % 20'000}, now));
        }
        check_started(tested_gate.expire(now));
    }
}

// After the queued requests of a deregistered upstream were refused, a freed slot must not start any of them.
TEST(gate, refuse_queued_refuses_waiting_requests)
{
    gate tested_gate = make_gate(1, 4);
    CHECK(tested_gate.offer(make_ticket("running", 3s), start).disposition == action::admit);
    CHECK(tested_gate.offer(make_ticket("waiting", 3s), start).disposition == action::queue);
    tested_gate.drain();
    const auto refused = tested_gate.refuse_queued();
    CHECK_EQUAL(1, refused.size());
    CHECK(refused.front() == (refusal{"waiting", make_error_code(errors::draining)}));
    CHECK(tested_gate.release("running", 1ms, start).started.empty());
}

// A tenant that fills the queue must not starve the other tenants, in whichever order the requests arrive.
TEST(gate, greedy_tenant_cannot_starve_the_others)
{
    struct share_case
    {
        double weight;
        double min_fraction;
        double max_fraction;
    };
    for (const share_case& each : {share_case{1.0, 0.42, 0.58}, share_case{3.0, 0.67, 0.83}})
    {
        gate tested_gate = gate::builder{}.slots(4).queue_capacity(40).tenant_weight("small", each.weight).build(start);
        std::map<std::string, int> started;
        time_point now = start;
        int next_id = 0;
        std::vector<std::string> running;
        for (int round = 0; round < 1000; ++round)
        {
            now += 1ms;
            for (int copy = 0; copy < 24; ++copy)
            {
                const bool is_greedy = copy < 20;
                const std::string tenant = is_greedy ? "greedy" : "small";
                const std::string id = tenant + std::to_string(++next_id);
                if (tested_gate.offer(make_ticket(id, 1h, tenant, now), now).disposition == action::admit)
                {
                    running.push_back(id);
                }
            }
            const std::vector<std::string> ended = std::exchange(running, {});
            for (const std::string& id : ended)
            {
                ++started[id.substr(0, id[0] == 'g' ? 6 : 5)];
                const changes result = tested_gate.release(id, 1ms, now);
                running.insert(running.end(), result.started.begin(), result.started.end());
            }
        }
        const double small_fraction = started["small"] / static_cast<double>(started["small"] + started["greedy"]);
        CHECK(small_fraction >= each.min_fraction && small_fraction <= each.max_fraction);
    }
}

// A queue that one tenant filled earlier must not exclude a tenant that arrives later.
TEST(gate, full_queue_displaces_a_request_for_a_tenant_under_its_share)
{
    gate tested_gate = make_gate(1, 4);
    for (int id = 0; id < 5; ++id)
    {
        CHECK(tested_gate.offer(make_ticket(std::to_string(id), 10s), start).disposition != action::refuse);
    }
    const decision result = tested_gate.offer(make_ticket("b1", 10s, "b"), start);
    CHECK(result.disposition == action::queue);
    CHECK(result.displaced.has_value());
    CHECK(result.displaced->reason == errors::tenant_over_share);
    CHECK(tested_gate.offer(make_ticket("5", 10s), start).reason == errors::tenant_over_share);
    STRCMP_EQUAL("b1", tested_gate.release("0", 1ms, start).started.at(0).c_str());
}

// Guards against a cold upstream that receives its full load immediately, and against queued requests that do not start
// when the limit grows.
TEST(gate, limit_ramps_up_after_a_cold_start)
{
    gate tested_gate = gate::builder{}.slots(10).queue_capacity(20).cold_start_ramp(1s).build(start);
    CHECK_EQUAL(1, tested_gate.concurrency_limit(start));
    CHECK(tested_gate.offer(make_ticket("1", 10s), start).disposition == action::admit);
    CHECK(tested_gate.offer(make_ticket("2", 10s), start).disposition == action::queue);
    CHECK_EQUAL(1, tested_gate.expire(start + 500ms).started.size());
    CHECK_EQUAL(5, tested_gate.concurrency_limit(start + 500ms));
    CHECK_EQUAL(10, tested_gate.concurrency_limit(start + 1s));
    CHECK(tested_gate.set_limits({20, 20, {}, {}}, start + 1s).refused.empty());
    CHECK_EQUAL(20, tested_gate.concurrency_limit(start + 1s));
    CHECK_THROWS(std::invalid_argument, static_cast<void>(tested_gate.set_limits({0, 20, {}, {}}, start)));
}

// A limit that is lowered below the number of running requests must neither admit more nor end running ones.
TEST(gate, lower_limit_waits_for_running_requests)
{
    gate tested_gate = make_gate(3, 4);
    for (const char* id : {"1", "2", "3", "4"})
    {
        static_cast<void>(tested_gate.offer(make_ticket(id, 10s), start));
    }
    CHECK(tested_gate.set_limits({1, 4, {}, {}}, start).started.empty());
    CHECK(tested_gate.release("1", 1ms, start).started.empty());
    CHECK(tested_gate.release("2", 1ms, start).started.empty());
    CHECK_EQUAL(1, tested_gate.release("3", 1ms, start).started.size());
}

// Guards against an estimate that lags behind an upstream that becomes ten times slower within milliseconds, and
// against a gate that keeps refusing requests after the upstream has recovered.
TEST(gate, follows_a_tenfold_change_of_the_service_time)
{
    std::mt19937_64 random{3};
    gate tested_gate = make_gate(9, 36);
    std::multimap<time_point, std::pair<std::string, duration>> ends;
    const auto start_request = [&](const std::string& id, time_point now, duration mean)
    {
        std::exponential_distribution<double> random_factor{1.0};
        const duration service_time{
            static_cast<duration::rep>(random_factor(random) * static_cast<double>(mean.count()))};
        ends.emplace(now + service_time, std::pair{id, service_time});
    };
    int admitted_after_recovery = 0;
    for (int tick = 0; tick < 3000; ++tick)
    {
        const time_point now = start + std::chrono::milliseconds{tick};
        const bool is_slow = tick >= 1000 && tick < 2000;
        const duration mean = is_slow ? 100ms : 10ms;
        while (!ends.empty() && ends.begin()->first <= now)
        {
            const auto [id, service_time] = ends.begin()->second;
            ends.erase(ends.begin());
            for (const std::string& next : tested_gate.release(id, service_time, now).started)
            {
                start_request(next, now, mean);
            }
        }
        if (tick % 4 == 0)
        {
            continue; // leaves 750 requests per second for 9 slots of 10 ms, a load of 0.83
        }
        const std::string id = std::to_string(tick);
        const decision result = tested_gate.offer(make_ticket(id, 80ms, "a", now), now);
        if (result.disposition == action::admit)
        {
            start_request(id, now, mean);
        }
        admitted_after_recovery += tick >= 2200 && result.disposition != action::refuse ? 1 : 0;
        for (const std::string& next : tested_gate.expire(now).started)
        {
            start_request(next, now, mean);
        }
        if (tick == 1050)
        {
            CHECK(tested_gate.load(now).service_time > 25ms);
        }
        if (tick == 2201)
        {
            CHECK(tested_gate.load(now).service_time < 20ms);
        }
    }
    CHECK(admitted_after_recovery > 570); // of 600 offered
}

// Short requests must not be refused because other requests of the service take long: 2,487 calls of 15 ms were
// refused in 16 s beside requests of 150 ms.
TEST(gate, a_deadline_may_bound_the_start)
{
    gate tested_gate = make_gate(2, 8);
    limits start_limits;
    start_limits.slots = 2;
    start_limits.queue_capacity = 8;
    start_limits.deadline_bounds_start = true;
    static_cast<void>(tested_gate.set_limits(start_limits, start));
    // The mean service time is 150 ms.
    for (int repeat = 0; repeat < 20; ++repeat)
    {
        CHECK(tested_gate.offer(make_ticket("warm", 1s), start).disposition == action::admit);
        static_cast<void>(tested_gate.release("warm", 150ms, start));
    }
    // A free slot is used, even when the latest start has passed.
    CHECK(tested_gate.offer(make_ticket("1", 100ms), start).disposition == action::admit);
    CHECK(tested_gate.offer(make_ticket("2", -1ms), start).disposition == action::admit);
    CHECK(tested_gate.offer(make_ticket("short", 100ms), start).disposition == action::queue);
    CHECK(tested_gate.offer(make_ticket("unreachable", 10ms), start).disposition == action::refuse);
    const auto expired = tested_gate.expire(start + 101ms);
    LONGS_EQUAL(1, expired.refused.size());
    STRCMP_EQUAL("short", expired.refused.at(0).id.c_str());
}
