#pragma once

#include <chrono>  // milliseconds
#include <cstddef> // size_t
#include <map>     // map

#include "poplarport/core/ids.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::configuration
{

/// @brief Limits of the pulls that a node has in progress at the same time.
struct pull_limits
{
    /// Maximum number of pulls, without those that are late for a version announced since.
    std::size_t pulls{3};
    /// Maximum number of all pulls; a document has up to 1 MB.
    std::size_t all_pulls{6};
    /// A pull that has taken longer may be waiting on a connection that has become silent, which ends after seconds.
    core::duration late_after{std::chrono::milliseconds{300}};
};

/// @brief The pulls of a document from members that have not ended, and whether another one may begin.
///
/// A pull over a silent connection stays in progress until the connection is closed. A version that is announced
/// meanwhile must not wait for it, so a late pull then no longer takes the place of another one.
class pulls_in_progress
{
  public:
    explicit pulls_in_progress(const pull_limits& pull_limits = {}) noexcept : limits(pull_limits)
    {
    }

    /// @brief Records the begin of a pull from a member from which none is in progress.
    void on_begun(const core::node_id& member, core::time_point now);

    void on_ended(const core::node_id& member);

    /// @brief Records that a newer version than all before has been announced.
    void on_announced(core::time_point now);

    /// @return whether another pull may begin
    [[nodiscard]] bool has_room() const noexcept;

    /// @return whether at most one more pull may begin, so that the members respond too late
    [[nodiscard]] bool is_nearly_full() const noexcept;

    /// @return whether a pull from a member is in progress
    [[nodiscard]] bool contains(const core::node_id& member) const;

    /// @return whether no pull is in progress that may bring the newest version
    [[nodiscard]] bool empty() const noexcept
    {
        return this->counted() == 0;
    }

  private:
    struct pull
    {
        core::time_point begun_at;
        bool is_late{false}; ///< for a version announced since
    };

    [[nodiscard]] std::size_t counted() const noexcept;

    pull_limits limits;
    std::map<core::node_id, pull> pulls{};
};

} // namespace poplarport::configuration
