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
constexpr std::uint64_t minimum = 1;
constexpr core::time_point start_time{1000s};

/// One call with an independent account of what was done and of what its attempts may have done.
class watched_call
{
  public:
    watched_call(const call_request& incoming, retry_budget& budget, core::time_point now)
        : request(incoming), subject(request, limits, budget)
    {
        this->check(this->subject.start(now), now);
    }

    void step(std::uint8_t number, std::uint8_t detail, core::time_point now, std::mt19937_64& random)
    {
        if (number < 200 && !this->accounts.empty())
        {
            const auto id = static_cast<attempt_id>(detail % this->accounts.size());
            const auto event = event_from(number);
            if (!this->cancelled_attempts[id])
            {
                this->accounts[id].note(event);
            }
            this->check(this->subject.on_event(id, event, now, random), now);
        }
        else if (number < 240)
        {
            this->check(this->subject.tick(now), now);
            RC_ASSERT(this->subject.finished() || *this->subject.next_wakeup() > now);
        }
        else if (number < 250)
        {
            this->body_discarded = true;
            this->subject.on_body_discarded();
        }
        else
        {
            this->check(this->subject.on_cancelled(), now);
        }
    }

    void end(std::mt19937_64& random)
    {
        this->check(this->subject.tick(this->request.deadline), this->request.deadline);
        RC_ASSERT(this->subject.finished());
        RC_ASSERT(this->subject.tick(this->request.deadline + 1s).empty());
        RC_ASSERT(this->subject.on_event(0, response_started{}, this->request.deadline, random).empty());
    }

    [[nodiscard]] std::uint64_t charged() const
    {
        // The first attempt and one redirect are free.
        const auto redirect = std::min<std::size_t>(1, this->redirects);
        return this->accounts.empty() ? 0 : this->accounts.size() - 1 - redirect;
    }

    [[nodiscard]] bool counted() const
    {
        return !this->accounts.empty();
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
        for (std::size_t id = 0; id < this->accounts.size(); ++id)
        {
            RC_ASSERT(this->request.repeatable || !this->accounts[id].may_have_run());
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
        RC_ASSERT(this->accounts.empty() || !this->body_discarded);
        RC_ASSERT(parameters.time_left == this->request.deadline - now && parameters.time_left.count() > 0);
        RC_ASSERT(parameters.attempt == this->accounts.size());
        RC_ASSERT(parameters.attempt_number <= std::max(limits.attempts, this->request.attempt_number));
        RC_ASSERT(parameters.excluded == this->endpoints);
        const bool redirect = parameters.preferred.has_value();
        RC_ASSERT(!redirect || std::ranges::find(this->endpoints, *parameters.preferred) == this->endpoints.end());
        this->redirects += redirect ? 1 : 0;
        const bool free = this->accounts.empty() || (redirect && this->redirects == 1);
        RC_ASSERT(free || this->request.depth <= limits.depth);
        if (this->accounts.empty())
        {
            this->first_start = now;
        }
        this->accounts.emplace_back();
        this->cancelled_attempts.push_back(false);
        this->endpoints.push_back(redirect ? *parameters.preferred : "node-" + std::to_string(parameters.attempt));
        this->subject.on_endpoint_chosen(this->endpoints.back());
    }

    void check(const cancel_attempt& action, core::time_point /*now*/)
    {
        this->cancelled_attempts.at(action.attempt) = true;
    }

    void check(const forward_response_header& action, core::time_point /*now*/)
    {
        RC_ASSERT(!this->header_forwarded);
        RC_ASSERT(this->accounts.at(action.attempt).may_have_run());
        this->header_forwarded = true;
    }

    void check(const finish& action, core::time_point /*now*/)
    {
        this->finished = true;
        const auto ran = [](const run_account& each)
        {
            return each.may_have_run();
        };
        RC_ASSERT(action.outcome != outcome::not_run || !std::ranges::any_of(this->accounts, ran));
        RC_ASSERT(action.outcome != outcome::answered || this->header_forwarded);
        RC_ASSERT((action.outcome == outcome::answered) == !action.code);
    }

    static constexpr call_limits limits{};
    call_request request;
    call subject;
    std::vector<run_account> accounts;
    std::vector<bool> cancelled_attempts;
    std::vector<core::node_id> endpoints;
    core::time_point first_start;
    std::size_t redirects{0};
    bool body_discarded{false};
    bool header_forwarded{false};
    bool finished{false};
};

call_request request_from(std::uint8_t number)
{
    call_request request;
    request.repeatable = number % 2 == 0;
    request.depth = number / 2 % 6;
    request.attempt_number = 1 + number / 12 % 3;
    request.deadline = start_time + 1s;
    if (number / 36 % 2 == 0)
    {
        request.hedge_delay = 3ms;
    }
    return request;
}

} // namespace

TEST_GROUP(call_property){};

// Invariants: a call finishes exactly once and does nothing afterwards; no request that may not be repeated starts
// after an attempt that may have run; no attempt after the head, a discarded body or the deadline; retries and hedges
// of all calls stay within the budget.
TEST(call_property, calls_keep_their_rules_in_every_history)
{
    check_property(4, 5000,
                   [](const std::vector<std::uint8_t>& requests, const std::vector<std::array<std::uint8_t, 3>>& script)
                   {
                       std::mt19937_64 random{script.size()};
                       retry_budget budget{{ratio, minimum, 100s, 10}};
                       std::vector<std::unique_ptr<watched_call>> calls;
                       auto now = start_time;
                       calls.reserve(requests.size());
                       for (const std::uint8_t each : requests)
                       {
                           calls.push_back(std::make_unique<watched_call>(request_from(each), budget, now));
                       }
                       for (const auto& [number, detail, subject] : script)
                       {
                           now += 1ms * (detail % 4);
                           if (!calls.empty())
                           {
                               calls[subject % calls.size()]->step(number, detail, now, random);
                           }
                       }
                       std::uint64_t charged = 0;
                       std::uint64_t counted = 0;
                       for (const auto& each : calls)
                       {
                           each->end(random);
                           charged += each->charged();
                           counted += each->counted() ? 1 : 0;
                       }
                       const auto earned = static_cast<std::uint64_t>(ratio * static_cast<double>(counted));
                       RC_ASSERT(charged <= minimum + earned);
                   });
}
