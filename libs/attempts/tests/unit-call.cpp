#include "poplarport/attempts/call.hpp"

#include <random> // mt19937_64
#include <vector> // vector

#include <CppUTest/TestHarness.h>

using namespace poplarport;
using namespace poplarport::attempts;
using namespace std::chrono_literals;
using core::outcome;

namespace
{

template <typename Kind>
const Kind* find_action(const call_actions& actions)
{
    for (const call_action& each : actions)
    {
        if (const auto* found = std::get_if<Kind>(&each))
        {
            return found;
        }
    }
    return nullptr;
}

/// @brief Runs nested calls in which every attempt ends as unknown after its nested call has run.
/// @return the number of attempts that reach the last level
std::size_t attempts_at_last_level(const call_request& request, std::uint32_t levels, retry_budget& budget,
                                   std::mt19937_64& random)
{
    std::size_t sum = 0;
    const core::time_point now{1000s};
    call tested_call{request, {}, budget};
    auto actions = tested_call.start(now);
    while (!tested_call.finished())
    {
        const auto* start = find_action<start_attempt>(actions);
        if (start == nullptr)
        {
            actions = tested_call.tick(*tested_call.next_wakeup());
            continue;
        }
        const auto parameters = start->parameters;
        call_request nested_request = request;
        nested_request.depth = request.depth + 1;
        nested_request.attempt_number = parameters.attempt_number;
        sum += nested_request.depth == levels ? 1 : attempts_at_last_level(nested_request, levels, budget, random);
        static_cast<void>(tested_call.on_event(parameters.attempt, request_bytes_sent{1}, now, random));
        actions = tested_call.on_event(parameters.attempt, unknown_reported{}, now, random);
    }
    return sum;
}

} // namespace

TEST_GROUP(call)
{
    const core::time_point now{1000s};
    std::mt19937_64 random{7};
    retry_budget budget{{0.0, 2, 10s, 10}};

    [[nodiscard]] call_request request(bool repeatable) const
    {
        call_request result;
        result.repeatable = repeatable;
        result.deadline = now + 1s;
        return result;
    }
};

// Without limits on depth and attempts, the retries of nested calls would multiply with each level.
TEST(call, twelve_levels_in_series_do_not_multiply_retries)
{
    retry_budget large_budget{{1.0, 1000000, 10s, 10}};
    auto entry_request = request(true);
    entry_request.deadline = now + 100s;
    const auto attempts_reached = attempts_at_last_level(entry_request, 12, large_budget, random);
    LONGS_EQUAL(15, attempts_reached);
}

// Guards against a first redirect that draws on the retry budget, and against a second one that does not.
TEST(call, one_redirect_is_free_and_the_second_costs_budget)
{
    call tested_call{request(false), {}, budget};
    static_cast<void>(tested_call.start(now));
    tested_call.on_endpoint_selected("a");
    const refused refusal{refusal_proof::admission_refused, {"a", "b", "c"}};
    const auto first = tested_call.on_event(0, refusal, now, random);
    STRCMP_EQUAL("b", find_action<start_attempt>(first)->parameters.preferred_endpoint->c_str());
    LONGS_EQUAL(1, find_action<start_attempt>(first)->parameters.attempt_number);
    LONGS_EQUAL(2, budget.available(now));
    tested_call.on_endpoint_selected("b");
    const auto second = tested_call.on_event(1, refusal, now, random);
    STRCMP_EQUAL("c", find_action<start_attempt>(second)->parameters.preferred_endpoint->c_str());
    LONGS_EQUAL(2, find_action<start_attempt>(second)->parameters.attempt_number);
    LONGS_EQUAL(1, budget.available(now));
}

// Guards against a hedge that starts before its delay or twice, and against a losing attempt that keeps running.
TEST(call, hedge_starts_after_its_delay_and_the_loser_is_cancelled)
{
    auto hedged_request = request(true);
    hedged_request.hedge_delay = 10ms;
    call tested_call{hedged_request, {}, budget};
    static_cast<void>(tested_call.start(now));
    static_cast<void>(tested_call.on_event(0, request_bytes_sent{1}, now, random));
    CHECK(tested_call.tick(now + 9ms).empty());
    const auto started = tested_call.tick(now + 10ms);
    CHECK(find_action<start_hedge>(started) != nullptr);
    CHECK(tested_call.tick(now + 30ms).empty());
    static_cast<void>(tested_call.on_event(1, request_bytes_sent{1}, now + 30ms, random));
    const auto header_actions = tested_call.on_event(1, response_started{}, now + 31ms, random);
    CHECK(find_action<cancel_attempt>(header_actions) != nullptr);
    LONGS_EQUAL(0, find_action<cancel_attempt>(header_actions)->attempt);
    LONGS_EQUAL(1, find_action<forward_response_header>(header_actions)->attempt);
    const auto end = tested_call.on_event(1, response_completed{}, now + 32ms, random);
    CHECK(find_action<finish>(end)->outcome == outcome::answered);
}

// A call that is not retried must report the actual reason.
TEST(call, reports_why_there_was_no_further_attempt)
{
    struct stop_case
    {
        const char* name;
        call_request request;
        attempt_event final_event;
        bool discard_body;
        error reason;
    };
    auto deep_request = request(true);
    deep_request.depth = 4;
    auto third_attempt_request = request(true);
    third_attempt_request.attempt_number = 3;
    auto short_deadline_request = request(true);
    short_deadline_request.deadline = now + 100us;
    const std::vector<stop_case> cases{
        {"not repeatable", request(false), connection_lost{}, false, error::not_repeatable},
        {"depth", deep_request, connection_lost{}, false, error::depth_limit},
        {"attempts", third_attempt_request, refused{}, false, error::attempt_limit},
        {"deadline", short_deadline_request, refused{}, false, error::deadline_passed},
        {"body", request(true), refused{}, true, error::body_not_replayable},
    };
    for (const stop_case& each : cases)
    {
        call tested_call{each.request, {}, budget};
        static_cast<void>(tested_call.start(now));
        static_cast<void>(tested_call.on_event(0, request_bytes_sent{1}, now, random));
        if (each.discard_body)
        {
            tested_call.on_body_discarded();
        }
        const auto actions = tested_call.on_event(0, each.final_event, now, random);
        CHECK_TEXT(find_action<finish>(actions) != nullptr, each.name);
        CHECK_TEXT(find_action<finish>(actions)->stopped_by == each.reason, each.name);
    }
}

// Refusals by receivers must not consume attempts or retry budget, because no upstream received the request. Refusals
// by upstreams must; when they did not, 926 arrivals beyond the first were seen where 407 were allowed.
TEST(call, only_attempts_that_reached_an_upstream_count)
{
    struct refusal_case
    {
        const char* name;
        refusal_proof proof;
        std::uint32_t free_retries;
        std::size_t expected_attempts;
    };
    const std::vector<refusal_case> cases{
        {"refused by admission, none free", refusal_proof::admission_refused, 0, 2},
        {"refused by admission, three free", refusal_proof::admission_refused, 3, 5},
        {"upstream not contacted, three free", refusal_proof::upstream_not_contacted, 3, 5},
        {"shed, three free", refusal_proof::upstream_shed, 3, 2}};
    for (const auto& each : cases)
    {
        retry_budget large_budget{{1.0, 100, 10s, 10}};
        call_limits limits;
        limits.attempts = 2;
        limits.free_retries = each.free_retries;
        call tested_call{request(false), limits, large_budget};
        auto actions = tested_call.start(now);
        std::size_t started = 0;
        while (const auto* const start_action = find_action<start_attempt>(actions))
        {
            ++started;
            actions = tested_call.on_event(start_action->parameters.attempt, refused{each.proof, {}}, now, random);
        }
        LONGS_EQUAL_TEXT(each.expected_attempts, started, each.name);
        const auto* const end = find_action<finish>(actions);
        CHECK_TEXT(end != nullptr && end->outcome == outcome::not_run, each.name);
    }
}

// With `redirects_after_shed` off, a redirect after a refusal by the upstream itself must draw on the retry budget.
TEST(call, a_redirect_after_a_shed_is_charged)
{
    retry_budget empty{{0.0, 0, 10s, 10}};
    call_limits limits;
    limits.redirects_after_shed = false;
    call tested_call{request(true), limits, empty};
    static_cast<void>(tested_call.start(now));
    const auto actions = tested_call.on_event(0, refused{refusal_proof::upstream_shed, {"better"}}, now, random);
    CHECK(find_action<start_attempt>(actions) == nullptr);
    CHECK(find_action<finish>(actions) != nullptr);
}
