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

/// @brief Wall-clock time of leases; clocks of several machines may differ, so nothing safe depends on it.
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
    core::node_id lease_holder; ///< member that rewrote the object last
    wall_time lease_end{};      ///< until then the others leave the object to the holder, to save work

    bool operator==(const seeds_document&) const = default;
};

/// @brief Settings of the seeds' upkeep.
struct seed_duty_settings
{
    std::size_t live_seeds{4}; ///< seeds taken from the live members
    /// Seeds of the old document that are kept although they are not known as live, so that the sides of a partition
    /// do not rewrite each other's seeds in turn and find each other afterwards.
    std::size_t kept_seeds{4};
    /// Between two reads; 2,200 services then cause about 37 reads per second on the platform.
    core::duration interval{std::chrono::minutes{1}};
    core::duration back_off_limit{std::chrono::minutes{10}}; ///< longest interval while the platform fails
    std::chrono::milliseconds lease{std::chrono::minutes{2}};
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

/// @brief What the owner must do.
using seed_action = std::variant<read_seeds, write_seeds>;

/// @brief Decides who rewrites the seeds of a service, and when.
///
/// The first-ranked live member reads the object now and then and rewrites it only if too few of its seeds are live.
/// Two members that both take themselves for the first-ranked one are harmless: the write is conditional on the
/// version read.
class seed_duty
{
  public:
    /// @param[in]     service  name of the service
    /// @param[in]     self     id of this member
    /// @param[in]     settings intervals and counts
    /// @param[in]     now      the present time
    /// @param[in,out] random   source of jitter
    seed_duty(std::string service, core::node_id self, const seed_duty_settings& settings, core::time_point now,
              std::mt19937_64& random);

    /// @return whether this member is the first-ranked one of the live members that are not draining
    [[nodiscard]] bool on_duty(const std::vector<member>& members) const;

    /// @brief Asks for a read when one is due and this member is on duty.
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
                                                     wall_time wall_now) const;

    /// @brief Processes a read or a write that failed, or whose answer was lost; the object is read again later.
    void on_failed(core::time_point now, std::mt19937_64& random);

    /// @brief Processes a success, or a write that was refused by version.
    void on_done() noexcept;

    /// @return when `tick` must be called next
    [[nodiscard]] core::time_point next_wakeup() const noexcept
    {
        return this->next_read;
    }

  private:
    [[nodiscard]] std::vector<member> candidates(const std::vector<member>& members) const;

    std::string key;
    core::node_id own_id;
    seed_duty_settings limits;
    core::duration wait;
    core::time_point next_read;
};

/// @return the addresses of the seeds
[[nodiscard]] std::vector<core::socket_address> addresses_of(const seeds_document& document);

} // namespace poplarport::membership
