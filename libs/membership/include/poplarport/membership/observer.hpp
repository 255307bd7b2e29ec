#pragma once

#include <chrono>  // seconds
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <map>     // map
#include <random>  // mt19937_64
#include <vector>  // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/membership/member_event.hpp"
#include "poplarport/membership/message.hpp"

namespace poplarport::membership
{

/// @brief Settings of an observer.
struct observer_settings
{
    std::size_t sources{3}; ///< number of members whose lists are pulled
    /// Interval between two pulls from one source, plus or minus a quarter.
    core::duration interval{std::chrono::seconds{3}};
    /// Initial delay after a failed pull; doubles with each further failure.
    core::duration backoff{std::chrono::seconds{1}};
    core::duration backoff_limit{std::chrono::seconds{30}};
    std::size_t failures_until_replaced{2}; ///< consecutive failed pulls after which a source is replaced
    core::duration start_jitter{std::chrono::seconds{1}};
};

/// @brief A list to pull from a member.
struct list_pull
{
    core::socket_address from;
    std::uint64_t known_hash{0}; ///< hash of the list held from this source, zero for none

    bool operator==(const list_pull&) const = default;
};

/// @brief Orders addresses by host and port.
struct address_order
{
    [[nodiscard]] bool operator()(const core::socket_address& first, const core::socket_address& second) const noexcept
    {
        const int hosts = first.host.compare(second.host);
        return hosts < 0 || (hosts == 0 && first.port < second.port);
    }
};

/// @brief Follows the member list of a service that this node is not a member of.
///
/// The lists of a few members are pulled at jittered intervals and merged. A member is considered live if any source
/// lists it as live, because a source that is cut off from a member must not deprive it of work; an announced leave
/// takes effect immediately. While no source responds, the last known members remain in use.
class observer
{
  public:
    /// @param[in]     self     id of this node; distributes the observers over the members
    /// @param[in]     settings intervals and limits
    /// @param[in]     now      current time
    /// @param[in,out] random   source of jitter
    observer(core::node_id self, const observer_settings& settings, core::time_point now, std::mt19937_64& random);

    /// @brief Replaces the addresses from the seeds object, which are used while no member is known.
    void set_seeds(std::vector<core::socket_address> addresses);

    /// @return the lists to pull now; each pull must be concluded by `on_list` or `on_failed`
    [[nodiscard]] std::vector<list_pull> tick(core::time_point now, std::mt19937_64& random);

    /// @brief Processes the response to a pull.
    /// @return changes of the merged list
    [[nodiscard]] std::vector<member_event> on_list(const core::socket_address& from, const list_response& response,
                                                    core::time_point now, std::mt19937_64& random);

    /// @brief Processes a pull that received no response.
    void on_failed(const core::socket_address& from, core::time_point now, std::mt19937_64& random);

    /// @return the live members, ordered by id
    [[nodiscard]] std::vector<member> members() const;

    /// @return when `tick` must be called next
    [[nodiscard]] core::time_point next_wakeup() const;

  private:
    struct source
    {
        std::uint64_t hash{0};
        std::vector<member_entry> entries;
        core::time_point next_pull;
        bool in_flight{false};
        std::size_t failures{0};
    };

    void select_sources(core::time_point now, std::mt19937_64& random);
    void replace_failed_sources(core::time_point now);
    [[nodiscard]] std::vector<core::socket_address> candidates(std::mt19937_64& random) const;
    [[nodiscard]] std::map<core::node_id, member> merge_lists() const;
    [[nodiscard]] std::vector<member_event> refresh();

    core::node_id local_id;
    observer_settings limits;
    std::vector<core::socket_address> seeds;
    std::map<core::socket_address, source, address_order> sources;
    std::map<core::socket_address, core::time_point, address_order> excluded_until;
    std::map<core::node_id, member> live_members;
    core::time_point next_selection;
};

} // namespace poplarport::membership
