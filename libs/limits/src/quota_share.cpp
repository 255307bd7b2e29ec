#include "poplarport/limits/quota_share.hpp"

#include <algorithm> // max, min
#include <chrono>    // duration, milliseconds, seconds
#include <limits>    // numeric_limits

#include "poplarport/limits/errors.hpp"

namespace poplarport::limits
{

namespace
{

// Time without a decision after which a node limits itself: several reports and their answers, and the time until
// another node is known as the owner.
constexpr std::chrono::milliseconds owner_silence{1500};

// A tenant whose arrivals grow by this factor between two reports is reported at once, at most at this interval.
constexpr std::uint32_t jump_factor = 3;
constexpr std::uint32_t min_jump_arrivals = 8;
constexpr std::chrono::milliseconds min_report_interval{50};

constexpr std::chrono::seconds idle_retention{10};

// Retry delay of a request that the node refuses by itself, without a decision about the wait.
constexpr std::chrono::seconds local_wait{1};

} // namespace

verdict quota_share::admit(std::string_view tenant, const quota& limit, std::size_t nodes, core::time_point now,
                           std::mt19937_64& random)
{
    const auto [position, is_new] = this->states.try_emplace(std::string{tenant});
    auto& state = position->second;
    if (is_new)
    {
        // The first request is reported at once, so that the owner decides before many have been admitted.
        state.reported_at = now - min_report_interval;
        state.filled_at = now;
        state.tokens = 1.0;
    }
    state.active_at = now;
    ++state.arrivals;
    const bool has_jumped = state.arrivals >= min_jump_arrivals && state.arrivals > state.last_arrivals * jump_factor;
    const bool is_early = has_jumped || !state.decided_at;
    const auto report_at = state.reported_at + (is_early ? min_report_interval : quota_report_interval);
    this->next_report_at = std::min(this->next_report_at, std::max<core::time_point>(report_at, now));
    const double equal_part = 1.0 / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const bool is_silent = !state.decided_at || now - *state.decided_at > owner_silence;
    const double part = is_silent ? std::max(state.part, equal_part) : 1.0;
    const bool has_token = quota_share::fill_bucket(state, limit, part, now);
    if (!quota_share::is_drawn(state, random))
    {
        return {errc::rate_exceeded, state.wait};
    }
    if (!has_token)
    {
        return {errc::rate_exceeded, local_wait};
    }
    state.tokens -= 1.0;
    ++state.admitted;
    return {};
}

void quota_share::give_back(std::string_view tenant)
{
    const auto found = this->states.find(std::string{tenant});
    if (found != this->states.end())
    {
        --found->second.admitted;
        found->second.tokens += 1.0;
    }
}

std::vector<quota_report> quota_share::take_reports(core::time_point now)
{
    std::vector<quota_report> result;
    this->next_report_at = core::time_point::max();
    std::erase_if(this->states, [now](const auto& each) { return now - each.second.active_at > idle_retention; });
    for (auto& [tenant, state] : this->states)
    {
        const auto interval = now - state.reported_at;
        if (state.arrivals == 0 && state.last_arrivals == 0)
        {
            continue;
        }
        if (interval < min_report_interval)
        {
            this->next_report_at = std::min(this->next_report_at, state.reported_at + quota_report_interval);
            continue;
        }
        const auto admitted = std::max(state.admitted, 0);
        result.push_back({tenant, state.arrivals, static_cast<std::uint32_t>(admitted), interval, state.part});
        // A tenant that has become idle is reported once more, so that the owner does not take this node for lost.
        state.last_arrivals = state.arrivals;
        state.arrivals = 0;
        state.admitted -= admitted;
        state.reported_at = now;
        if (state.last_arrivals > 0)
        {
            this->next_report_at = std::min<core::time_point>(this->next_report_at, now + quota_report_interval);
        }
    }
    return result;
}

void quota_share::on_decision(const quota_decision& decision, core::time_point now)
{
    const auto [position, is_new] = this->states.try_emplace(decision.tenant);
    auto& state = position->second;
    if (is_new)
    {
        state.reported_at = now;
        state.filled_at = now;
        state.active_at = now;
    }
    if (!state.decided_at)
    {
        state.tokens = std::numeric_limits<double>::max(); // as much as the bucket holds
    }
    state.fraction = decision.fraction;
    state.part = decision.part > 0.0 ? decision.part : state.part;
    state.wait = decision.wait;
    state.decided_at = now;
}

// Draws the decided fraction of the arrivals. Independent draws would add up to deviations that grow with the number of
// arrivals; these are admitted as soon as their sum passes a threshold, so that the number drawn stays within two
// requests of the fraction. The threshold is random, so that no kind of request that recurs at intervals is preferred.
bool quota_share::is_drawn(tenant_state& state, std::mt19937_64& random)
{
    if (state.fraction >= 1.0)
    {
        return true;
    }
    std::uniform_real_distribution<double> distribution{0.0, 1.0};
    if (!state.threshold)
    {
        state.threshold = distribution(random);
    }
    state.due += state.fraction;
    if (state.due <= *state.threshold)
    {
        return false;
    }
    state.due -= 1.0;
    state.threshold = distribution(random);
    return true;
}

// Fills the node's own bucket, from which it never admits more than its part of the quota, or, while the owner decides,
// than the whole quota.
bool quota_share::fill_bucket(tenant_state& state, const quota& limit, double part, core::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - state.filled_at).count();
    const double capacity = std::max((limit.burst + limit.rate_per_second) * part, 1.0);
    state.filled_at = now;
    state.tokens = std::min(state.tokens + elapsed * limit.rate_per_second * part, capacity);
    return state.tokens >= 1.0;
}

} // namespace poplarport::limits
