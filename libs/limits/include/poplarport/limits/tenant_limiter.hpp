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
    std::uint32_t rate_per_second{0}; ///< sustained rate of requests; 0 for no limit
    std::uint32_t burst{1};           ///< requests allowed at once above the rate
    std::uint32_t concurrency{0};     ///< requests in flight; 0 for no limit

    bool operator==(const tenant_limit&) const = default;
};

/// @brief Answer to a request's admission at the entry.
struct verdict
{
    std::error_code refused{};     ///< empty when the request is admitted
    core::duration retry_after{0}; ///< time until the rate admits a request again
};

/// @brief Holds the rate and the number of requests in flight of each tenant at one entry node.
///
/// The state of a tenant that sent nothing for a while is dropped, so that memory follows the active tenants.
class tenant_limiter
{
  public:
    /// @brief Admits or refuses a request; an admitted request must be given back by release().
    /// @param[in] tenant name of the tenant
    /// @param[in] limit  the tenant's limits in force
    /// @param[in] now    reading of the clock
    [[nodiscard]] verdict admit(std::string_view tenant, const tenant_limit& limit, core::time_point now);

    /// @brief Ends a request that was admitted.
    void release(std::string_view tenant) noexcept;

    /// @brief Drops the state of tenants without requests in flight whose bucket is full again.
    /// @param[in] now reading of the clock
    void forget_idle(core::time_point now);

    /// @return tenants with state
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->states.size();
    }

  private:
    struct state
    {
        core::time_point empty_until; ///< the bucket holds the requests that fit between this instant and now
        core::duration capacity{0};
        std::uint32_t in_flight{0};
    };

    std::unordered_map<std::string, state> states{};
};

} // namespace poplarport::limits
