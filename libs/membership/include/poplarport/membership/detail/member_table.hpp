#pragma once

#include <cstddef>  // size_t
#include <map>      // map
#include <optional> // optional
#include <vector>   // vector

#include "poplarport/core/time.hpp"
#include "poplarport/membership/member_event.hpp"
#include "poplarport/membership/message.hpp"

namespace poplarport::membership::detail
{

/// @brief What a detector knows about one other member.
struct member_record
{
    membership::member member;
    std::optional<core::time_point> suspicion_end; ///< while suspect: when the member is declared dead
    std::optional<core::time_point> ended_at;      ///< while dead or left: when that was found
};

/// @brief The other members, including those that ended and are remembered.
class member_table
{
  public:
    /// @param[in] retention how long ended members are remembered
    explicit member_table(core::duration retention) noexcept : ended_retention(retention)
    {
    }

    /// @brief Merges an entry.
    /// @param[in] entry     the entry
    /// @param[in] suspicion how long a member that becomes suspect has to refute
    /// @param[in] now       the present time
    /// @return the change, or nothing when the entry brought no news
    std::optional<member_event> apply(const member_entry& entry, core::duration suspicion, core::time_point now);

    /// @brief Declares members dead whose suspicion ended, and forgets ended members after the retention.
    /// @param[in]  now       the present time
    /// @param[out] forgotten ids that are no longer held
    /// @return the changes
    [[nodiscard]] std::vector<member_event> expire(core::time_point now, std::vector<core::node_id>& forgotten);

    /// @brief Gives every suspect member more time after this process was frozen.
    void postpone_suspicions(core::duration delay);

    /// @return the record of a member, or nullptr
    [[nodiscard]] const member_record* find(const core::node_id& id) const;

    /// @return the entry to send for a member that is held
    [[nodiscard]] member_entry entry(const member_record& record, core::time_point now) const;

    /// @return all records by id
    [[nodiscard]] const std::map<core::node_id, member_record>& records() const noexcept
    {
        return this->by_id;
    }

    /// @return the live members
    [[nodiscard]] std::vector<member> live() const;

    /// @return the number of live members
    [[nodiscard]] std::size_t live_count() const noexcept
    {
        return this->live_members;
    }

    /// @return when `expire` has something to do next
    [[nodiscard]] std::optional<core::time_point> next_expiry() const;

  private:
    static void note_state(member_record& record, core::duration suspicion, core::time_point ended_at,
                           core::time_point now);

    core::duration ended_retention;
    std::map<core::node_id, member_record> by_id;
    std::size_t live_members{0};
};

} // namespace poplarport::membership::detail
