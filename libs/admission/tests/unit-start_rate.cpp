#include <algorithm> // max
#include <cstddef>   // size_t
#include <string>    // to_string
#include <vector>    // vector

#include <CppUTest/TestHarness.h>

#include "poplarport/admission/gate.hpp"

using namespace std::chrono_literals;
using namespace poplarport::admission;
using poplarport::core::duration;
using poplarport::core::time_point;

namespace
{

constexpr time_point begin{1h};
constexpr duration window = 4s;

// Largest number of starts within the window.
std::size_t max_in_window(const std::vector<time_point>& starts)
{
    std::size_t result = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < starts.size(); ++last)
    {
        while (starts[last] - starts[first] >= window)
        {
            ++first;
        }
        result = std::max(result, last - first + 1);
    }
    return result;
}

// Offers a request every five milliseconds to a gate with 11 slots and service times of 60 ms, from `from` to `to`.
class overloaded_gate
{
  public:
    gate tested = gate::builder{}.slots(11).queue_capacity(44).build(begin);
    std::vector<time_point> starts{};

    void run(time_point from, time_point to)
    {
        for (auto now = from; now < to; now += 5ms)
        {
            while (this->released < this->starts.size() && this->starts[this->released] + 60ms <= now)
            {
                this->count(this->tested.release(this->started_ids[this->released++], 60ms, now).started, now);
            }
            this->count(this->tested.expire(now).started, now);
            const auto id = std::to_string(++this->last_id);
            if (this->tested.offer({id, "a", "normal", now + 500ms, std::nullopt}, now).disposition == action::admit)
            {
                this->count({id}, now);
            }
        }
    }

  private:
    void count(const std::vector<std::string>& ids, time_point now)
    {
        for (const auto& id : ids)
        {
            this->started_ids.push_back(id);
            this->starts.push_back(now);
        }
    }

    std::vector<std::string> started_ids{};
    std::size_t released{0};
    int last_id{0};
};

} // namespace

TEST_GROUP(start_rate){};

// Pattern: an upstream in need names a limit while its slots would permit a multiple of it. In every four seconds it
// may get one and a half times the limit and five requests, and it must get most of what it takes.
TEST(start_rate, an_upstream_gets_no_more_requests_than_it_takes)
{
    for (const double limit : {0.0, 0.4, 3.3, 9.4, 17.8, 120.0})
    {
        overloaded_gate load;
        load.run(begin, begin + 2s);
        static_cast<void>(load.tested.set_max_start_rate(limit, begin + 2s));
        const auto before = load.starts.size();
        load.run(begin + 2s, begin + 22s);
        const std::vector<time_point> limited{load.starts.begin() + static_cast<std::ptrdiff_t>(before),
                                              load.starts.end()};
        const auto title = std::to_string(limit);
        CHECK_TEXT(static_cast<double>(max_in_window(limited)) <= 1.5 * 4 * limit + 5, title.c_str());
        CHECK_TEXT(static_cast<double>(limited.size()) >= 0.95 * 20 * limit, title.c_str());
    }
}

// An upstream without a limit must be used up to its slots again, also when a request waited for the rate.
TEST(start_rate, the_end_of_a_limit_frees_the_slots)
{
    overloaded_gate load;
    static_cast<void>(load.tested.set_max_start_rate(1.0, begin));
    load.run(begin, begin + 3s);
    const auto changes = load.tested.set_max_start_rate(std::nullopt, begin + 3s);
    CHECK(changes.started.size() >= 10);
    LONGS_EQUAL(11, load.tested.load(begin + 3s).slots);
}

// Other nodes share their requests among the upstreams by the reported slots. An upstream that still reported all its
// slots would get as many requests as before, and they would wait or be refused.
TEST(start_rate, the_load_report_has_the_slots_that_the_rate_permits)
{
    struct report_case
    {
        double limit;
        std::uint32_t slots;
    };
    // Service times of 60 ms.
    const report_case cases[] = {{0.0, 1}, {17.8, 1}, {50.0, 3}, {100.0, 6}, {1000.0, 11}};
    for (const auto& each : cases)
    {
        overloaded_gate load;
        load.run(begin, begin + 2s);
        static_cast<void>(load.tested.set_max_start_rate(each.limit, begin + 2s));
        const auto reported = load.tested.load(begin + 2s).slots;
        CHECK_TEXT(reported + 1 >= each.slots && reported <= each.slots + 1, std::to_string(each.limit).c_str());
    }
}

// A request that cannot start in time at the permitted rate must be refused at once, although a slot is free.
TEST(start_rate, a_request_that_cannot_start_in_time_is_refused_at_once)
{
    auto tested = gate::builder{}.slots(11).queue_capacity(44).build(begin);
    limits start_limits{11, 44, {}, {}};
    start_limits.deadline_bounds_start = true;
    static_cast<void>(tested.set_limits(start_limits, begin));
    static_cast<void>(tested.set_max_start_rate(2.0, begin));
    CHECK(tested.offer({"1", "a", "normal", begin + 100ms, std::nullopt}, begin).disposition == action::admit);
    const auto decision = tested.offer({"2", "a", "normal", begin + 100ms, std::nullopt}, begin);
    CHECK(decision.disposition == action::refuse);
    CHECK(decision.reason == errors::deadline_unreachable);
    CHECK(tested.offer({"3", "a", "normal", begin + 600ms, std::nullopt}, begin).disposition == action::queue);
    // A peer that starts the request sooner is better than the wait for the rate.
    CHECK(tested.offer({"4", "a", "normal", begin + 3s, 10ms}, begin).reason == errors::better_peer);
}
