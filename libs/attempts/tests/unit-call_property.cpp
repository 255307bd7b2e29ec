#include <algorithm> // ranges::count, ranges::find
#include <array>     // array
#include <memory>    // make_unique, unique_ptr
#include <random>    // mt19937_64
#include <vector>    // vector

#include "generated_event.hpp"
#include "poplarport/attempts/call.hpp"
#include "property.hpp"

using namespace poplarport;
using namespace poplarport::attempts;
using namespace std::chrono_literals;
using core::outcome;

namespace
{

constexpr double ratio = 0.2;
constexpr double minimum = 1.0;
constexpr core::time_point test_start{1000s};

/// @brief A call whose actions are checked against an independent model of what its attempts may have done.
class checked_call
{
  public:
    checked_call(const call_request& call_properties, retry_budget& budget, core::time_point now)
        : request(call_properties), tested_call(request, limits, budget)
    {
        this->check(this->tested_call.start(now), now);
    }

    void step(std::uint8_t event_number, std::uint8_t detail, core::time_point now, std::mt19937_64& random)
    {
        if (event_number < 200 && !this->models.empty())
        {
            const auto id = static_cast<attempt_id>(detail % this->models.size());
            const auto event = event_from(event_number);
            if (!this->cancelled_attempts[id])
            {
                this->models[id].record_event(event);
            }
            this->check(this->tested_call.on_event(id, event, now, random), now);
        }
        else if (event_number < 240)
        {
            this->check(this->tested_call.tick(now), now);
            RC_ASSERT(this->tested_call.finished() || *this->tested_call.next_wakeup() > now);
        }
        else if (event_number < 250)
        {
            this->body_discarded = true;
            this->tested_call.on_body_discarded();
        }
        else
        {
            this->check(this->tested_call.on_cancelled(), now);
        }
    }

    void end(std::mt19937_64& random)
    {
        this->check(this->tested_call.tick(this->request.deadline), this->request.deadline);
        RC_ASSERT(this->tested_call.finished());
        RC_ASSERT(this->tested_call.tick(this->request.deadline + 1s).empty());
        RC_ASSERT(this->tested_call.on_event(0, response_started{}, this->request.deadline, random).empty());
    }

    [[nodiscard]] std::uint64_t charged_count() const
    {
        // The first attempt and one redirect are free.
        const auto free_redirects = std::min<std::size_t>(1, this->redirects);
        return this->models.empty() ? 0 : this->models.size() - 1 - free_redirects;
    }

    [[nodiscard]] bool has_started() const
    {
        return !this->models.empty();
    }

  private:
    void check(const call_actions& actions, core::time_point now)
    {
        for (const call_action& each : actions)
        {
            RC_ASSERT(!this->finished);
            std::visit([this, now](const auto& action) { this->check(action, now); }, each);
        }
    }

    void check(const start_attempt& action, core::time_point now)
    {
        for (std::size_t id = 0; id < this->models.size(); ++id)
        {
            RC_ASSERT(this->request.repeatable || !this->models[id].may_have_run());
        }
        this->check_start(action.parameters, now);
    }

    void check(const start_hedge& action, core::time_point now)
    {
        RC_ASSERT(this->request.repeatable && this->request.hedge_delay.has_value());
        RC_ASSERT(now >= this->first_start + *this->request.hedge_delay);
        this->check_start(action.parameters, now);
    }

    void check_start(const start_parameters& parameters, core::time_point now)
    {
        RC_ASSERT(!this->header_forwarded);
        RC_ASSERT(this->models.empty() || !this->body_discarded);
        RC_ASSERT(parameters.time_left == this->request.deadline - now && parameters.time_left.count() > 0);
        RC_ASSERT(parameters.attempt == this->models.size());
        RC_ASSERT(parameters.attempt_number <= std::max(limits.attempts, this->request.attempt_number));
        RC_ASSERT(parameters.excluded == this->endpoints);
        const bool is_redirect = parameters.preferred_endpoint.has_value();
        RC_ASSERT(!is_redirect ||
                  std::ranges::find(this->endpoints, *parameters.preferred_endpoint) == this->endpoints.end());
        this->redirects += is_redirect ? 1 : 0;
        const bool is_free = this->models.empty() || (is_redirect && this->redirects == 1);
        RC_ASSERT(is_free || this->request.depth <= limits.depth);
        if (this->models.empty())
        {
            this->first_start = now;
        }
        this->models.emplace_back();
        this->cancelled_attempts.push_back(false);
        this->endpoints.push_back(is_redirect ? *parameters.preferred_endpoint
                                              : "node-" + std::to_string(parameters.attempt));
        this->tested_call.on_endpoint_selected(this->endpoints.back());
    }

    void check(const cancel_attempt& action, core::time_point /*now*/)
    {
        this->cancelled_attempts.at(action.attempt) = true;
    }

    void check(const forward_response_header& action, core::time_point /*now*/)
    {
        RC_ASSERT(!this->header_forwarded);
        RC_ASSERT(this->models.at(action.attempt).may_have_run());
        this->header_forwarded = true;
    }

    void check(const finish& action, core::time_point /*now*/)
    {
        this->finished = true;
        const auto ran = [](const execution_model& each)
        {
            return each.may_have_run();
        };
        RC_ASSERT(action.outcome != outcome::not_run || !std::ranges::any_of(this->models, ran));
        RC_ASSERT(action.outcome != outcome::answered || this->header_forwarded);
        RC_ASSERT((action.outcome == outcome::answered) == !action.code);
    }

    static constexpr call_limits limits{};
    call_request request;
    call tested_call;
    std::vector<execution_model> models;
    std::vector<bool> cancelled_attempts;
    std::vector<core::node_id> endpoints;
    core::time_point first_start;
    std::size_t redirects{0};
    bool body_discarded{false};
    bool header_forwarded{false};
    bool finished{false};
};

call_request request_from(std::uint8_t request_number)
{
    call_request request;
    request.repeatable = request_number % 2 == 0;
    request.depth = request_number / 2 % 6;
    request.attempt_number = 1 + request_number / 12 % 3;
    request.deadline = test_start + 1s;
    if (request_number / 36 % 2 == 0)
    {
        request.hedge_delay = 3ms;
    }
    return request;
}

} // namespace

TEST_GROUP(call_property){};

// Invariants: a call finishes exactly once and performs no action afterwards. A request that is not repeatable is not
// sent again after an attempt that may have run. No attempt starts after a response header was forwarded, the body was
// discarded or the deadline has passed. The retries and hedges of all calls stay within the budget.
TEST(call_property, every_event_sequence_keeps_the_invariants)
{
    check_property(4, 5000,
                   [](const std::vector<std::uint8_t>& requests, const std::vector<std::array<std::uint8_t, 3>>& script)
                   {
                       std::mt19937_64 random{script.size()};
                       retry_budget budget{{ratio, minimum, 100s, 10}};
                       std::vector<std::unique_ptr<checked_call>> calls;
                       auto now = test_start;
                       calls.reserve(requests.size());
                       for (const std::uint8_t each : requests)
                       {
                           calls.push_back(std::make_unique<checked_call>(request_from(each), budget, now));
                       }
                       for (const auto& [event_number, detail, call_index] : script)
                       {
                           now += 1ms * (detail % 4);
                           if (!calls.empty())
                           {
                               calls[call_index % calls.size()]->step(event_number, detail, now, random);
                           }
                       }
                       std::uint64_t charged_count = 0;
                       std::uint64_t counted_calls = 0;
                       for (const auto& each : calls)
                       {
                           each->end(random);
                           charged_count += each->charged_count();
                           counted_calls += each->has_started() ? 1 : 0;
                       }
                       const auto permitted_by_ratio =
                           static_cast<std::uint64_t>(ratio * static_cast<double>(counted_calls));
                       RC_ASSERT(charged_count <= static_cast<std::uint64_t>(minimum) + permitted_by_ratio);
                   });
}
