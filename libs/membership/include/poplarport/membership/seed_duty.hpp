#pragma once

#include <chrono>   // milliseconds, minutes, seconds, sys_time
#include <cstddef>  // size_t
#include <optional> // optional
#include <random>   // mt19937_64
#include <string>   // string
#include <variant>  // variant
#include <vector>   // vector

#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/membership/member.hpp"

namespace poplarport::membership
{

/// @brief Wall-clock time of leases; clocks of different machines may disagree, so safety must not depend on it.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// @brief A member that new members contact first.
struct seed
{
    core::node_id id;
    core::socket_address peer_address;

    bool operator==(const seed&) const = default;
};

/// @brief Content of the platform object `seeds/SERVICE`.
struct seeds_document
{
    std::vector<seed> seeds;
    core::node_id lease_holder; ///< member that last wrote the object
    wall_time lease_end{};      ///< until then only the holder rewrites the object, to avoid duplicate work

    bool operator==(const seeds_document&) const = default;
};

/// @brief Settings of the maintenance of the seeds.
struct seed_duty_settings
{
    std::size_t live_seeds{4}; ///< number of seeds selected from the live members
    /// Number of seeds kept from the previous document although they are not known to be live. They keep the sides of a
    /// partition from overwriting each other's seeds in turn, and let the sides find each other afterwards.
    std::size_t kept_seeds{4};
    /// Interval between two reads; 2,200 services then cause about 37 platform reads per second.
    core::duration interval{std::chrono::minutes{1}};
    core::duration backoff_limit{std::chrono::minutes{10}}; ///< maximum interval while the platform fails
    std::chrono::milliseconds lease{std::chrono::minutes{2}};
    /// Delay before an early read, which a membership change triggers if too few of the last seen seeds are live. The
    /// first node of a service writes only itself; without an early rewrite its replacement would find no member.
    core::duration early_wait{std::chrono::seconds{1}};
};

/// @brief Read the object `seeds/SERVICE`.
struct read_seeds
{
};

/// @brief Write the object `seeds/SERVICE` if its version is still the one that was read.
struct write_seeds
{
    seeds_document document;
    core::version expected_version{0}; ///< zero: the object must not exist
};

/// @brief An action that the owner must perform.
using seed_action = std::variant<read_seeds, write_seeds>;

/// @brief Decides which member rewrites the seeds of a service, and when.
///
/// The first-ranked live member reads the object periodically and rewrites it only if too few of its seeds are live.
/// Two members that both consider themselves first-ranked do no harm, because the write is conditional on the version
/// read.
class seed_duty
{
  public:
    /// @param[in]     service  name of the service
    /// @param[in]     self     id of this member
    /// @param[in]     settings intervals and counts
    /// @param[in]     now      current time
    /// @param[in,out] random   source of jitter
    seed_duty(std::string service, core::node_id self, const seed_duty_settings& settings, core::time_point now,
              std::mt19937_64& random);

    /// @return whether this member is ranked first among the live members that are not draining
    [[nodiscard]] bool on_duty(const std::vector<member>& members) const;

    /// @brief Requests a read if one is due and this member is on duty.
    [[nodiscard]] std::optional<seed_action> tick(const std::vector<member>& members, core::time_point now,
                                                  std::mt19937_64& random);

    /// @brief Processes the object that was read.
    /// @param[in] document the content, or nothing if the object does not exist
    /// @param[in] version  the version read
    /// @param[in] members  the live members
    /// @param[in] wall_now wall-clock time for the lease
    /// @return a conditional write if the seeds differ enough from the live members
    [[nodiscard]] std::optional<seed_action> on_read(const std::optional<seeds_document>& document,
                                                     core::version version, const std::vector<member>& members,
                                                     wall_time wall_now);

    /// @brief Brings the next read forward if this member is on duty and too few of the last seen seeds are live.
    void on_members(const std::vector<member>& members, core::time_point now, std::mt19937_64& random);

    /// @brief Processes a read or write that failed or whose response was lost; the object is read again later.
    void on_failed(core::time_point now, std::mt19937_64& random);

    /// @brief Processes a successful read or write, or a write that was refused by version.
    void on_done() noexcept;

    /// @return when `tick` must be called next
    [[nodiscard]] core::time_point next_wakeup() const noexcept
    {
        return this->next_read;
    }

  private:
    [[nodiscard]] std::size_t required_seeds(std::size_t live) const noexcept;
    [[nodiscard]] std::vector<member> candidates(const std::vector<member>& members) const;

    std::string key;
    core::node_id local_id;
    seed_duty_settings limits;
    core::duration read_interval;
    core::time_point next_read;
    core::time_point earliest_read{};
    std::vector<seed> last_seeds{}; ///< seeds as last read or written
};

/// @return the peer addresses of the seeds
[[nodiscard]] std::vector<core::socket_address> addresses_of(const seeds_document& document);

} // namespace poplarport::membership
