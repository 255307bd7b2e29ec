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

/// @brief State that a detector holds for one remote member.
struct member_record
{
    membership::member member;
    std::optional<core::time_point> suspicion_end; ///< if suspect: when the member will be declared dead
    std::optional<core::time_point> ended_at;      ///< if dead or left: when that was detected
};

/// @brief The remote members, including dead and left ones within the retention.
class member_table
{
  public:
    /// @param[in] retention time for which dead and left members are kept
    explicit member_table(core::duration retention) noexcept : ended_retention(retention)
    {
    }

    /// @brief Merges an entry into the record of its member.
    /// @param[in] entry     the entry
    /// @param[in] suspicion time that a member which becomes suspect has to refute
    /// @param[in] now       current time
    /// @return the change, or nothing if the entry contained nothing new
    std::optional<member_event> apply(const member_entry& entry, core::duration suspicion, core::time_point now);

    /// @brief Declares members dead whose suspicion has expired, and drops dead and left members after the retention.
    /// @param[in]  now     current time
    /// @param[out] dropped ids of the dropped members
    /// @return the changes
    [[nodiscard]] std::vector<member_event> expire(core::time_point now, std::vector<core::node_id>& dropped);

    /// @brief Extends the suspicion of every suspect member, because this process was frozen.
    void postpone_suspicions(core::duration delay);

    /// @return the record of a member, or nullptr
    [[nodiscard]] const member_record* find(const core::node_id& id) const;

    /// @return the entry to send for a record
    [[nodiscard]] member_entry entry(const member_record& record, core::time_point now) const;

    /// @return all records by id
    [[nodiscard]] const std::map<core::node_id, member_record>& records() const noexcept
    {
        return this->by_id;
    }

    /// @return the live members by id; the pointers are valid until the next change of the table
    [[nodiscard]] std::vector<const member*> live() const;

    [[nodiscard]] std::size_t live_count() const noexcept
    {
        return this->live_members;
    }

    /// @return when `expire` must be called next, or nothing if nothing expires
    [[nodiscard]] std::optional<core::time_point> next_expiry() const noexcept
    {
        return this->earliest_expiry;
    }

  private:
    void apply_state(member_record& record, core::duration suspicion, core::time_point ended_at, core::time_point now);
    void expect_expiry_of(const member_record& record);

    core::duration ended_retention;
    std::map<core::node_id, member_record> by_id;
    std::size_t live_members{0};
    // No record expires earlier. Not raised when a suspicion ends, so that a change costs no pass over all records.
    std::optional<core::time_point> earliest_expiry;
};

} // namespace poplarport::membership::detail
