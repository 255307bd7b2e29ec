#pragma once

#include <chrono>   // milliseconds, sys_time
#include <optional> // optional

#include "poplarport/core/ids.hpp"

namespace poplarport::configuration
{

/// @brief Wall-clock time of leases; clocks of different machines may disagree, so safety must not depend on it.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// @brief A lease as stored in the object that it covers.
struct lease_record
{
    core::node_id holder; ///< empty if the lease is free
    wall_time expiry{};

    bool operator==(const lease_record&) const = default;
};

/// @brief A write of the covered object that is conditional on a version.
struct lease_write
{
    lease_record record;               ///< lease to store with the object
    core::version expected_version{0}; ///< zero: the object must not exist

    bool operator==(const lease_write&) const = default;
};

/// @brief A lease on a platform object.
///
/// The lease only avoids duplicate work. The version protects the object: each write is conditional on the version that
/// the holder last saw, so the write of a holder that was paused past the expiry while another one wrote is refused.
class object_lease
{
  public:
    /// @param[in] self     id of this node
    /// @param[in] duration duration of a lease
    object_lease(core::node_id self, std::chrono::milliseconds duration);

    /// @brief Records the lease and the version that were read.
    /// @param[in] record  the lease, or nothing if the object does not exist
    /// @param[in] version the version read, zero if the object does not exist
    void on_read(const std::optional<lease_record>& record, core::version version);

    /// @brief Acquires or renews the lease; also used to write the covered object while the lease is held.
    /// @param[in] now wall-clock time
    /// @return the conditional write, or nothing while another holder's lease is valid or the object must be read first
    [[nodiscard]] std::optional<lease_write> acquire(wall_time now);

    /// @brief Processes a write that the platform confirmed.
    /// @param[in] version the new version
    void on_written(core::version version);

    /// @brief Processes a write that was refused by version or whose response was lost; the object must be read again.
    void on_lost() noexcept;

    /// @return whether this node holds the lease by its local state, which does not permit an unconditional write
    [[nodiscard]] bool held(wall_time now) const noexcept;

  private:
    core::node_id local_id;
    std::chrono::milliseconds lease_duration;
    std::optional<core::version> known_version; ///< version of the last read or write; nothing if unknown
    lease_record current_lease;
    std::optional<lease_record> pending_lease; ///< lease of a write in progress
};

} // namespace poplarport::configuration
