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

// Guards against more running requests than slots and against a freed slot that nobody gets.
TEST(gate, admits_up_to_the_slots_and_starts_the_queue_by_deadline)
{
    gate value = make_gate(2, 8);
    CHECK(value.offer(make_ticket("1", 1s), start).what == action::admit);
    CHECK(value.offer(make_ticket("2", 1s), start).what == action::admit);
    CHECK(value.offer(make_ticket("late", 3s), start).what == action::queue);
    CHECK(value.offer(make_ticket("soon", 2s), start).what == action::queue);
    CHECK(value.load(start) == (poplarport::core::load_report{2, 2, 2, 10ms, false}));
    const changes first = value.release("1", 10ms, start + 10ms);
    CHECK_EQUAL(1, first.started.size());
    STRCMP_EQUAL("soon", first.started[0].c_str());
    CHECK(value.release("unknown", 10ms, start + 10ms).started.empty());
    const changes second = value.cancel("2", start + 11ms);
    STRCMP_EQUAL("late", second.started.at(0).c_str());
    CHECK(value.cancel("late", start + 11ms).started.empty());
    CHECK_EQUAL(1, value.load(start + 11ms).in_flight);
}

// Guards against a refusal without its reason, and against waiting when refusing at once is better.
TEST(gate, refuses_at_once_with_a_typed_reason)
{
    gate value = make_gate(1, 2);
    CHECK(value.offer(make_ticket("past", 0s), start).reason == errors::deadline_passed);
    CHECK(value.offer(make_ticket("1", 1s), start).what == action::admit);
    CHECK(value.offer(make_ticket("1", 1s), start).reason == errors::duplicate_request);
    CHECK(value.offer(make_ticket("short", 15ms), start).reason == errors::deadline_unreachable);
    ticket movable = make_ticket("movable", 1s);
    movable.best_peer_wait = 2ms;
    CHECK(value.offer(movable, start).reason == errors::better_peer);
    movable.best_peer_wait = 1s;
    CHECK(value.offer(movable, start).what == action::queue);
    CHECK(value.offer(make_ticket("3", 1s), start).what == action::queue);
    CHECK(value.offer(make_ticket("4", 1s), start).reason == errors::queue_full);
    value.drain();
    CHECK(value.offer(make_ticket("5", 1s), start).reason == errors::draining);
    CHECK_TRUE(value.load(start).draining);
    CHECK_EQUAL(2, value.load(start).queued); // a planned stop interrupts no accepted request
    CHECK_EQUAL(1, value.release("1", 1ms, start).started.size());
}

// Guards against running a request whose deadline passed while it waited.
TEST(gate, never_starts_a_ticket_after_its_deadline)
{
    std::mt19937_64 random{11};
    gate value = make_gate(3, 16);
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
        if (value.offer(offered, now).what == action::admit)
        {
            check_started({{offered.id}, {}});
        }
        if (!running.empty() && random() % 2 == 0)
        {
            const std::string ended = running.front();
            running.erase(running.begin());
            check_started(value.release(ended, std::chrono::microseconds{random() % 20'000}, now));
        }
        check_started(value.expire(now));
    }
}

// Guards against queued requests of a leaving upstream that start although nobody may start any more.
TEST(gate, refuses_what_is_queued)
{
    gate value = make_gate(1, 4);
    CHECK(value.offer(make_ticket("running", 3s), start).what == action::admit);
    CHECK(value.offer(make_ticket("waiting", 3s), start).what == action::queue);
    value.drain();
    const auto refused = value.refuse_queued();
    CHECK_EQUAL(1, refused.size());
    CHECK(refused.front() == (refusal{"waiting", make_error_code(errors::draining)}));
    CHECK(value.release("running", 1ms, start).started.empty());
}

// Guards against a greedy tenant that fills the queue and starves the others, whatever the order of arrival.
TEST(gate, greedy_tenant_cannot_starve_the_others)
{
    struct share_case
    {
        double weight;
        double least_part;
        double greatest_part;
    };
    for (const share_case& item : {share_case{1.0, 0.42, 0.58}, share_case{3.0, 0.67, 0.83}})
    {
        gate value = gate::builder{}.slots(4).queue_capacity(40).tenant_weight("small", item.weight).build(start);
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
                if (value.offer(make_ticket(id, 1h, tenant, now), now).what == action::admit)
                {
                    running.push_back(id);
                }
            }
            const std::vector<std::string> ended = std::exchange(running, {});
            for (const std::string& id : ended)
            {
                ++started[id.substr(0, id[0] == 'g' ? 6 : 5)];
                const changes result = value.release(id, 1ms, now);
                running.insert(running.end(), result.started.begin(), result.started.end());
            }
        }
        const double part = started["small"] / static_cast<double>(started["small"] + started["greedy"]);
        CHECK(part >= item.least_part && part <= item.greatest_part);
    }
}

// Guards against a queue filled before a second tenant arrives that shuts this tenant out.
TEST(gate, full_queue_gives_way_to_a_tenant_under_its_share)
{
    gate value = make_gate(1, 4);
    for (int id = 0; id < 5; ++id)
    {
        CHECK(value.offer(make_ticket(std::to_string(id), 10s), start).what != action::refuse);
    }
    const decision result = value.offer(make_ticket("b1", 10s, "b"), start);
    CHECK(result.what == action::queue);
    CHECK(result.displaced.has_value());
    CHECK(result.displaced->reason == errors::tenant_over_share);
    CHECK(value.offer(make_ticket("5", 10s), start).reason == errors::tenant_over_share);
    STRCMP_EQUAL("b1", value.release("0", 1ms, start).started.at(0).c_str());
}

// Guards against a cold upstream that gets its full load at once, and a queue that nothing starts when the limit grows.
TEST(gate, limit_ramps_up_after_a_cold_start)
{
    gate value = gate::builder{}.slots(10).queue_capacity(20).cold_start_ramp(1s).build(start);
    CHECK_EQUAL(1, value.concurrency_limit(start));
    CHECK(value.offer(make_ticket("1", 10s), start).what == action::admit);
    CHECK(value.offer(make_ticket("2", 10s), start).what == action::queue);
    CHECK_EQUAL(1, value.expire(start + 500ms).started.size());
    CHECK_EQUAL(5, value.concurrency_limit(start + 500ms));
    CHECK_EQUAL(10, value.concurrency_limit(start + 1s));
    CHECK(value.set_limits({20, 20, {}, {}}, start + 1s).refused.empty());
    CHECK_EQUAL(20, value.concurrency_limit(start + 1s));
    CHECK_THROWS(std::invalid_argument, static_cast<void>(value.set_limits({0, 20, {}, {}}, start)));
}

// Guards against a limit that is lowered below the running requests and admits more, or cuts running ones.
TEST(gate, lower_limit_waits_for_running_requests)
{
    gate value = make_gate(3, 4);
    for (const char* id : {"1", "2", "3", "4"})
    {
        static_cast<void>(value.offer(make_ticket(id, 10s), start));
    }
    CHECK(value.set_limits({1, 4, {}, {}}, start).started.empty());
    CHECK(value.release("1", 1ms, start).started.empty());
    CHECK(value.release("2", 1ms, start).started.empty());
    CHECK_EQUAL(1, value.release("3", 1ms, start).started.size());
}

// Guards against an estimate that lags behind an upstream that becomes ten times slower within milliseconds, and
// against a gate that refuses everything after the upstream recovered.
TEST(gate, follows_a_tenfold_change_of_the_service_time)
{
    std::mt19937_64 random{3};
    gate value = make_gate(9, 36);
    std::multimap<time_point, std::pair<std::string, duration>> ends;
    const auto run = [&](const std::string& id, time_point now, duration mean)
    {
        std::exponential_distribution<double> scale{1.0};
        const duration taken{static_cast<duration::rep>(scale(random) * static_cast<double>(mean.count()))};
        ends.emplace(now + taken, std::pair{id, taken});
    };
    int admitted_after_recovery = 0;
    for (int tick = 0; tick < 3000; ++tick)
    {
        const time_point now = start + std::chrono::milliseconds{tick};
        const bool is_slow = tick >= 1000 && tick < 2000;
        const duration mean = is_slow ? 100ms : 10ms;
        while (!ends.empty() && ends.begin()->first <= now)
        {
            const auto [id, taken] = ends.begin()->second;
            ends.erase(ends.begin());
            for (const std::string& next : value.release(id, taken, now).started)
            {
                run(next, now, mean);
            }
        }
        if (tick % 4 == 0)
        {
            continue; // leaves 750 requests a second for 9 slots of 10 ms, a load of 0.83
        }
        const std::string id = std::to_string(tick);
        const decision result = value.offer(make_ticket(id, 80ms, "a", now), now);
        if (result.what == action::admit)
        {
            run(id, now, mean);
        }
        admitted_after_recovery += tick >= 2200 && result.what != action::refuse ? 1 : 0;
        for (const std::string& next : value.expire(now).started)
        {
            run(next, now, mean);
        }
        if (tick == 1050)
        {
            CHECK(value.load(now).service_time > 25ms);
        }
        if (tick == 2201)
        {
            CHECK(value.load(now).service_time < 20ms);
        }
    }
    CHECK(admitted_after_recovery > 570); // of 600 offered
}

// Guards against short requests that are refused because others of the service take long (2,487 calls of 15 ms were
// refused in 16 s beside requests of 150 ms).
TEST(gate, a_deadline_may_bound_the_start)
{
    gate value = make_gate(2, 8);
    limits bounding;
    bounding.slots = 2;
    bounding.queue_capacity = 8;
    bounding.deadline_bounds_start = true;
    static_cast<void>(value.set_limits(bounding, start));
    // The mean service time is 150 ms.
    for (int repeat = 0; repeat < 20; ++repeat)
    {
        CHECK(value.offer(make_ticket("warm", 1s), start).what == action::admit);
        static_cast<void>(value.release("warm", 150ms, start));
    }
    // A free slot is used, even when the latest start has passed.
    CHECK(value.offer(make_ticket("1", 100ms), start).what == action::admit);
    CHECK(value.offer(make_ticket("2", -1ms), start).what == action::admit);
    CHECK(value.offer(make_ticket("short", 100ms), start).what == action::queue);
    CHECK(value.offer(make_ticket("hopeless", 10ms), start).what == action::refuse);
    const auto expired = value.expire(start + 101ms);
    LONGS_EQUAL(1, expired.refused.size());
    STRCMP_EQUAL("short", expired.refused.at(0).id.c_str());
}
