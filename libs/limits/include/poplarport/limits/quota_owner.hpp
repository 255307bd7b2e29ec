#pragma once

#include <functional>    // less
#include <map>           // map
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/limits/quota.hpp"

namespace poplarport::limits
{

/// @brief Decides which fraction of a tenant's arrivals each node admits, at the node that owns the tenant's quota.
///
/// Keeps one token bucket for each tenant, from which the admitted requests of all nodes are taken. The fraction is
/// what the bucket can give over the demand, so that requests admitted before a jump of the demand was known are paid
/// back. All state is rebuilt from reports after a change of owner.
class quota_owner
{
  public:
    /// @brief Processes a report and decides for the node that sent it.
    /// @param[in] node      the node
    /// @param[in] report    its report
    /// @param[in] limit     quota of the tenant
    /// @param[in] reachable fraction of the nodes known in the last seconds that are reachable, at most 1
    /// @param[in] now       current time
    [[nodiscard]] quota_decision on_report(const core::node_id& node, const quota_report& report, const quota& limit,
                                           double reachable, core::time_point now);

    /// @brief Returns the decisions that every node must know, not only those that have reported: a node with few
    /// requests of a tenant would otherwise admit the first ones whatever the others do. They are sent while requests
    /// are refused, and for a short time after.
    [[nodiscard]] std::vector<quota_decision> restrictions(core::time_point now) const;

    /// @brief Drops tenants without a report in the last seconds.
    void drop_idle(core::time_point now);

    /// @return the number of tenants whose state is held
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->states.size();
    }

  private:
    struct node_state
    {
        double latest_demand{0.0};   ///< requests per second, over one interval between reports
        double latest_variance{0.0}; ///< of `latest_demand`, if requests arrive independently of each other
        double demand{0.0};          ///< requests per second, over about a second
        double admitted{0.0};        ///< requests per second, over about a second
        bool is_idle{false};         ///< the last report was without arrivals, so that no further one is due
        double part{0.0};            ///< as an earlier owner stated it, with the first report to this one
        core::time_point reported_at{};
    };

    struct tenant_state
    {
        std::map<core::node_id, node_state, std::less<>> nodes{};
        double tokens{0.0};
        core::time_point filled_at{};
        core::time_point owned_since{};
        core::time_point restricted_at = core::time_point::min(); ///< last decision to refuse requests
        quota_decision latest{};
    };

    /// @brief Demand of the nodes of a tenant in requests per second.
    struct demand_sum
    {
        double live{0.0};     ///< of nodes that report
        double lost{0.0};     ///< of nodes that no longer report although they had demand
        double admitted{0.0}; ///< what the lost nodes admitted
    };

    static void record(node_state& reporter, const quota_report& report, core::time_point now);
    [[nodiscard]] static demand_sum sum_up(const tenant_state& state, core::time_point now);
    [[nodiscard]] static double visible_part(const tenant_state& state, double reachable, core::time_point now);
    static void fill_bucket(tenant_state& state, const quota& limit, double visible, core::time_point now);

    std::unordered_map<std::string, tenant_state> states{};
};

} // namespace poplarport::limits
