#include "poplarport/membership/detail/member_table.hpp"

#include <algorithm> // min
#include <chrono>    // duration_cast, milliseconds

namespace poplarport::membership::detail
{

namespace
{

member_change change_between(const member& before, const member& after) noexcept
{
    if (!is_live(after))
    {
        return after.state == member_state::left ? member_change::left : member_change::failed;
    }
    if (!is_live(before) || after.incarnation != before.incarnation)
    {
        return member_change::joined;
    }
    if (before.state == after.state)
    {
        member with_old_version = after;
        with_old_version.configuration_version = before.configuration_version;
        return with_old_version == before ? member_change::configured : member_change::updated;
    }
    return after.state == member_state::suspect ? member_change::suspected : member_change::recovered;
}

} // namespace

std::optional<member_event> member_table::apply(const member_entry& entry, core::duration suspicion,
                                                core::time_point now)
{
    const auto ended_at = now - entry.ended_ago;
    const bool expired = !is_live(entry.member) && entry.ended_ago >= this->ended_retention;
    const auto found = this->by_id.find(entry.member.id);
    if (found == this->by_id.end())
    {
        if (expired)
        {
            return std::nullopt;
        }
        member_record& record = this->by_id[entry.member.id];
        record.member = entry.member;
        this->live_members += is_live(record.member) ? 1 : 0;
        apply_state(record, suspicion, ended_at, now);
        // A member first reported as dead or left is recorded without an event.
        return is_live(entry.member) ? std::optional{member_event{member_change::joined, entry.member}} : std::nullopt;
    }
    member_record& record = found->second;
    const member before = record.member;
    if (!merge(record.member, entry.member))
    {
        return std::nullopt;
    }
    this->live_members -= is_live(before) ? 1 : 0;
    this->live_members += is_live(record.member) ? 1 : 0;
    if (before.state != record.member.state || before.revision != record.member.revision ||
        before.incarnation != record.member.incarnation)
    {
        apply_state(record, suspicion, ended_at, now);
    }
    if (!is_live(before) && !is_live(record.member))
    {
        return std::nullopt;
    }
    return member_event{change_between(before, record.member), record.member};
}

std::vector<member_event> member_table::expire(core::time_point now, std::vector<core::node_id>& dropped)
{
    std::vector<member_event> events;
    if (!this->earliest_expiry || now < *this->earliest_expiry)
    {
        return events;
    }
    this->earliest_expiry.reset();
    for (auto position = this->by_id.begin(); position != this->by_id.end();)
    {
        member_record& record = position->second;
        if (record.suspicion_end && now >= *record.suspicion_end)
        {
            record.member.state = member_state::dead;
            --this->live_members;
            record.suspicion_end.reset();
            record.ended_at = now;
            events.push_back({member_change::failed, record.member});
        }
        if (record.ended_at && now - *record.ended_at >= this->ended_retention)
        {
            dropped.push_back(position->first);
            position = this->by_id.erase(position);
            continue;
        }
        this->expect_expiry_of(record);
        ++position;
    }
    return events;
}

void member_table::postpone_suspicions(core::duration delay)
{
    for (auto& [id, record] : this->by_id)
    {
        if (record.suspicion_end)
        {
            *record.suspicion_end += delay;
        }
    }
}

const member_record* member_table::find(const core::node_id& id) const
{
    const auto found = this->by_id.find(id);
    return found == this->by_id.end() ? nullptr : &found->second;
}

member_entry member_table::entry(const member_record& record, core::time_point now) const
{
    member_entry result{record.member, {}};
    if (record.ended_at)
    {
        result.ended_ago = std::chrono::duration_cast<std::chrono::milliseconds>(now - *record.ended_at);
    }
    return result;
}

std::vector<const member*> member_table::live() const
{
    std::vector<const member*> members;
    members.reserve(this->live_members);
    for (const auto& [id, record] : this->by_id)
    {
        if (is_live(record.member))
        {
            members.push_back(&record.member);
        }
    }
    return members;
}

void member_table::expect_expiry_of(const member_record& record)
{
    const auto consider = [this](core::time_point candidate)
    {
        this->earliest_expiry = this->earliest_expiry ? std::min(*this->earliest_expiry, candidate) : candidate;
    };
    if (record.suspicion_end)
    {
        consider(*record.suspicion_end);
    }
    if (record.ended_at)
    {
        consider(*record.ended_at + this->ended_retention);
    }
}

void member_table::apply_state(member_record& record, core::duration suspicion, core::time_point ended_at,
                               core::time_point now)
{
    record.suspicion_end.reset();
    record.ended_at.reset();
    if (record.member.state == member_state::suspect)
    {
        record.suspicion_end = now + suspicion;
    }
    if (!is_live(record.member))
    {
        record.ended_at = ended_at;
    }
    this->expect_expiry_of(record);
}

} // namespace poplarport::membership::detail
