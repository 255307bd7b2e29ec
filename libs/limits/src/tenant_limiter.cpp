#include "poplarport/limits/tenant_limiter.hpp"

#include <algorithm> // max
#include <chrono>    // nanoseconds, seconds

#include "poplarport/limits/errors.hpp"

namespace poplarport::limits
{

verdict tenant_limiter::admit(std::string_view tenant, const tenant_limit& limit, core::time_point now)
{
    const auto [position, is_new] = this->states.try_emplace(std::string{tenant});
    auto& current = position->second;
    if (limit.concurrency != 0 && current.in_flight >= limit.concurrency)
    {
        return {errc::concurrency_exceeded, core::duration{0}};
    }
    if (limit.rate_per_second != 0)
    {
        const core::duration interval = core::duration{std::chrono::seconds{1}} / limit.rate_per_second;
        current.capacity = interval * std::max(limit.burst, 1U);
        const auto earliest = now - current.capacity;
        current.empty_until = is_new ? earliest : std::max(current.empty_until, earliest);
        const auto next = current.empty_until + interval;
        if (next > now)
        {
            return {errc::rate_exceeded, next - now};
        }
        current.empty_until = next;
    }
    ++current.in_flight;
    return {};
}

void tenant_limiter::release(std::string_view tenant) noexcept
{
    const auto position = this->states.find(std::string{tenant});
    if (position != this->states.end() && position->second.in_flight > 0)
    {
        --position->second.in_flight;
    }
}

void tenant_limiter::drop_idle(core::time_point now)
{
    std::erase_if(this->states,
                  [now](const auto& entry)
                  {
                      const state& value = entry.second;
                      return value.in_flight == 0 && value.empty_until + value.capacity <= now;
                  });
}

} // namespace poplarport::limits
