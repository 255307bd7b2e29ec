#pragma once

#include <cstddef>       // size_t
#include <cstdint>       // uint32_t
#include <optional>      // optional
#include <random>        // mt19937_64
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "poplarport/core/time.hpp"
#include "poplarport/limits/quota.hpp"
#include "poplarport/limits/tenant_limiter.hpp"

namespace poplarport::limits
{

/// @brief One node's share of the quotas of the tenants.
///
/// Admits the fraction of arrivals that the owner of a tenant's quota has decided. While the owner is silent, the last
/// fraction holds, and the node admits no more than its part of the quota by itself. State is held only for tenants
/// with requests in the last seconds.
class quota_share
{
  public:
    /// @brief Admits or refuses a request.
    /// @param[in]     tenant name of the tenant
    /// @param[in]     limit  its quota
    /// @param[in]     nodes  number of nodes that share the quota
    /// @param[in]     now    current time
    /// @param[in,out] random source of randomness
    /// @return the decision; its `refused` is empty or `rate_exceeded`
    [[nodiscard]] verdict admit(std::string_view tenant, const quota& limit, std::size_t nodes, core::time_point now,
                                std::mt19937_64& random);

    /// @brief Records that an admitted request has not run.
    void give_back(std::string_view tenant);

    /// @return the reports that are due, which count as sent; drops the state of idle tenants
    [[nodiscard]] std::vector<quota_report> take_reports(core::time_point now);

    /// @return when `take_reports` must be called next; the maximum if there is nothing to report
    [[nodiscard]] core::time_point next_report() const noexcept
    {
        return this->next_report_at;
    }

    /// @brief Records the decision of an owner. With a part of zero it is for all nodes, and the part is kept.
    void on_decision(const quota_decision& decision, core::time_point now);

    /// @return the number of tenants whose state is held
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->states.size();
    }

  private:
    struct tenant_state
    {
        std::uint32_t arrivals{0};
        std::int32_t admitted{0}; ///< negative if more requests were given back than admitted since the last report
        std::uint32_t last_arrivals{0};
        core::time_point reported_at{};
        core::time_point active_at{};
        std::optional<core::time_point> decided_at{};
        double fraction{1.0};
        double due{0.0};                   ///< requests that the fraction allows and that are not admitted yet
        std::optional<double> threshold{}; ///< of `due`, at which the next request is admitted
        double part{0.0};
        core::duration wait{0};
        double tokens{0.0}; ///< of the bucket that applies while the owner is silent
        core::time_point filled_at{};
    };

    [[nodiscard]] static bool is_drawn(tenant_state& state, std::mt19937_64& random);
    [[nodiscard]] static bool fill_bucket(tenant_state& state, const quota& limit, double part, core::time_point now);

    std::unordered_map<std::string, tenant_state> states{};
    core::time_point next_report_at{core::time_point::max()};
};

} // namespace poplarport::limits
