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
    std::size_t sources{3};                           ///< members whose lists are pulled
    core::duration interval{std::chrono::seconds{3}}; ///< between two pulls from one source, give or take a quarter
    core::duration back_off{std::chrono::seconds{1}}; ///< after a failed pull; doubles with each further one
    core::duration back_off_limit{std::chrono::seconds{30}};
    std::size_t failures_until_replaced{2}; ///< failed pulls in a row after which a source is replaced
    core::duration start_jitter{std::chrono::seconds{1}};
};

/// @brief A list to pull from a member.
struct list_pull
{
    core::socket_address from;
    std::uint64_t known_hash{0}; ///< hash of the list that is held from this source, zero for none

    bool operator==(const list_pull&) const = default;
};

/// @brief Orders addresses by host and port.
struct address_order
{
    /// @return whether the first address comes before the second one
    [[nodiscard]] bool operator()(const core::socket_address& first, const core::socket_address& second) const noexcept
    {
        const int hosts = first.host.compare(second.host);
        return hosts < 0 || (hosts == 0 && first.port < second.port);
    }
};

/// @brief Follows the member list of a service of which this node is no member.
///
/// The lists of a few members are pulled at jittered intervals and merged. A member is taken as live if any source
/// lists it as live, because a source that is cut off from a member must not take that member's work away; an
/// announced departure counts at once. While no source answers, the members known last stay in use.
class observer
{
  public:
    /// @param[in]     self     id of this node; spreads the observers over the members
    /// @param[in]     settings intervals and limits
    /// @param[in]     now      the present time
    /// @param[in,out] random   source of jitter
    observer(core::node_id self, const observer_settings& settings, core::time_point now, std::mt19937_64& random);

    /// @brief Replaces the addresses that are used while no member is known, from the seeds object.
    void set_seeds(std::vector<core::socket_address> addresses);

    /// @return the lists to pull now; each must be answered by `on_list` or `on_failed`
    [[nodiscard]] std::vector<list_pull> tick(core::time_point now, std::mt19937_64& random);

    /// @brief Processes the answer to a pull.
    /// @return changes of the merged list
    [[nodiscard]] std::vector<member_event> on_list(const core::socket_address& from, const list_answer& answer,
                                                    core::time_point now, std::mt19937_64& random);

    /// @brief Processes a pull without an answer.
    void on_failed(const core::socket_address& from, core::time_point now, std::mt19937_64& random);

    /// @return the live members, in order of their ids
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

    void choose_sources(core::time_point now, std::mt19937_64& random);
    void replace_failed_sources(core::time_point now);
    [[nodiscard]] std::vector<core::socket_address> candidates(std::mt19937_64& random) const;
    [[nodiscard]] std::map<core::node_id, member> merged() const;
    [[nodiscard]] std::vector<member_event> refresh();

    core::node_id own_id;
    observer_settings limits;
    std::vector<core::socket_address> seeds;
    std::map<core::socket_address, source, address_order> sources;
    std::map<core::socket_address, core::time_point, address_order> avoided_until;
    std::map<core::node_id, member> view;
    core::time_point next_choice;
};

} // namespace poplarport::membership
