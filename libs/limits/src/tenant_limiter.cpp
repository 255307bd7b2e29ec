#include "poplarport/limits/tenant_limiter.hpp"

#include <algorithm> // max
#include <chrono>    // nanoseconds, seconds

#include "poplarport/limits/errors.hpp"

namespace poplarport::limits
{

verdict tenant_limiter::admit(std::string_view tenant, const tenant_limit& limit, core::time_point now)
{
    const auto [iterator, is_new] = this->states.try_emplace(std::string{tenant});
    auto& tenant_usage = iterator->second;
    if (limit.concurrency != 0 && tenant_usage.in_flight >= limit.concurrency)
    {
        return {errc::concurrency_exceeded, core::duration{0}};
    }
    if (limit.rate_per_second != 0)
    {
        const core::duration request_interval = core::duration{std::chrono::seconds{1}} / limit.rate_per_second;
        tenant_usage.capacity = request_interval * std::max(limit.burst, 1U);
        const auto full_bucket_time = now - tenant_usage.capacity;
        tenant_usage.empty_until = is_new ? full_bucket_time : std::max(tenant_usage.empty_until, full_bucket_time);
        const auto next_empty_until = tenant_usage.empty_until + request_interval;
        if (next_empty_until > now)
        {
            return {errc::rate_exceeded, next_empty_until - now};
        }
        tenant_usage.empty_until = next_empty_until;
    }
    ++tenant_usage.in_flight;
    return {};
}

void tenant_limiter::release(std::string_view tenant) noexcept
{
    const auto iterator = this->states.find(std::string{tenant});
    if (iterator != this->states.end() && iterator->second.in_flight > 0)
    {
        --iterator->second.in_flight;
    }
}

void tenant_limiter::drop_idle(core::time_point now)
{
    std::erase_if(this->states,
                  [now](const auto& name_and_state)
                  {
                      const tenant_state& candidate = name_and_state.second;
                      return candidate.in_flight == 0 && candidate.empty_until + candidate.capacity <= now;
                  });
}

} // namespace poplarport::limits
