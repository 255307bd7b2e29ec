#pragma once

#include <cstddef>       // size_t
#include <cstdint>       // uint64_t
#include <functional>    // function
#include <optional>      // optional
#include <random>        // mt19937_64
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/limits/quota_owner.hpp"
#include "poplarport/limits/quota_share.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::mesh
{

/// @brief Keeps the quotas of the tenants together with the other nodes: reports the requests at this node to the
/// owners of the quotas, and decides for the quotas that this node owns.
class quota_task
{
  public:
    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        /// Returns the quota of a tenant, or nothing if it has none.
        std::function<std::optional<limits::quota>(const std::string& tenant)> quota_of;
        std::function<core::node_id(const std::string& tenant)> owner_of; ///< returns the first-ranked member
        std::function<void(const core::node_id& owner, const std::vector<limits::quota_report>&)> send_reports;
        std::function<void(const std::vector<limits::quota_decision>&)> announce; ///< sends decisions to all members
    };

    /// @param[in] loop   event loop of the node
    /// @param[in] self   id of this node
    /// @param[in] random random engine of the node
    /// @param[in] events callbacks into the other parts of the node
    quota_task(net::event_loop& loop, core::node_id self, std::mt19937_64& random, hooks events);
    ~quota_task() = default;
    quota_task(const quota_task&) = delete;
    quota_task& operator=(const quota_task&) = delete;

    /// @brief Records that members have joined or ended, so that other nodes may own the quotas.
    void on_members_changed(std::size_t reachable_members);

    /// @brief Admits or refuses a request.
    [[nodiscard]] limits::verdict admit(const std::string& tenant, const limits::quota& limit);

    /// @brief Records that an admitted request has not run.
    void give_back(const std::string& tenant);

    /// @brief Decides about the reports of another node.
    [[nodiscard]] std::vector<limits::quota_decision> on_reports(const core::node_id& node,
                                                                 const std::vector<limits::quota_report>& reports);

    /// @brief Applies the decisions of an owner.
    void on_decisions(const std::vector<limits::quota_decision>& decisions);

    /// @return the number of tenants with requests at this node in the last seconds
    [[nodiscard]] std::size_t active_tenants() const noexcept
    {
        return this->share.size();
    }

    /// @return the number of tenants whose quotas this node owns
    [[nodiscard]] std::size_t owned_quotas() const noexcept
    {
        return this->owner.size();
    }

    /// @return requests refused since the start because a quota was used up
    [[nodiscard]] std::uint64_t refused_requests() const noexcept
    {
        return this->refused;
    }

  private:
    void report();
    void announce();
    void schedule();
    [[nodiscard]] const core::node_id& owner_of(const std::string& tenant);

    net::event_loop* loop;
    core::node_id self;
    std::mt19937_64* random;
    hooks events;
    limits::quota_share share{};
    limits::quota_owner owner{};
    std::unordered_map<std::string, core::node_id> owners{}; ///< by tenant, since the last change of the members
    std::size_t members{1};
    std::size_t max_members{1}; ///< of the last seconds
    core::time_point max_members_at{};
    std::uint64_t refused{0};
    net::timer report_timer;
    net::timer announcement_timer;
};

} // namespace poplarport::mesh
