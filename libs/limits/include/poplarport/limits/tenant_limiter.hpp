#pragma once

#include <cstdint>       // uint32_t
#include <string>        // string
#include <string_view>   // string_view
#include <system_error>  // error_code
#include <unordered_map> // unordered_map

#include "poplarport/core/time.hpp"

namespace poplarport::limits
{

/// @brief Limits of one tenant at one entry node.
struct tenant_limit
{
    std::uint32_t rate_per_second{0}; ///< sustained request rate; 0 for no limit
    std::uint32_t burst{1};           ///< capacity of the token bucket in requests; 0 counts as 1
    std::uint32_t concurrency{0};     ///< requests in flight; 0 for no limit

    bool operator==(const tenant_limit&) const = default;
};

/// @brief Admission decision for a request at the entry node.
struct verdict
{
    std::error_code refused{};     ///< empty when the request is admitted
    core::duration retry_after{0}; ///< time until the rate permits a request; zero unless `rate_exceeded`
};

/// @brief Limits the request rate and the requests in flight of each tenant at one entry node.
///
/// drop_idle() drops the state of idle tenants, so that memory is proportional to the number of active tenants.
class tenant_limiter
{
  public:
    /// @brief Admits or refuses a request; each admitted request must be ended by release().
    /// @param[in] tenant name of the tenant
    /// @param[in] limit  the tenant's current limits
    /// @param[in] now    current time
    /// @return the decision; its `refused` is empty, `rate_exceeded` or `concurrency_exceeded`
    [[nodiscard]] verdict admit(std::string_view tenant, const tenant_limit& limit, core::time_point now);

    /// @brief Ends a request that was admitted.
    void release(std::string_view tenant) noexcept;

    /// @brief Drops the state of tenants that have no requests in flight and a full token bucket.
    /// @param[in] now current time
    void drop_idle(core::time_point now);

    /// @return the number of tenants whose state is held
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->states.size();
    }

  private:
    struct tenant_state
    {
        core::time_point
            empty_until; ///< the bucket holds as many requests as the rate permits between this instant and now
        core::duration capacity{0};
        std::uint32_t in_flight{0};
    };

    std::unordered_map<std::string, tenant_state> states{};
};

} // namespace poplarport::limits
