#include "poplarport/evacuation/replica.hpp"

#include <utility> // exchange

namespace poplarport::evacuation
{

replica::replica(const spread_settings& spread, bool is_first_start) noexcept
    : settings(spread), may_hold_nothing(is_first_start)
{
}

void replica::on_peers_found(core::time_point now) noexcept
{
    if (!this->may_hold_nothing && this->held.revision == 0)
    {
        this->start_rounds(now);
    }
}

bool replica::on_stored(const zone_state& stored, core::time_point now)
{
    if (!this->held.is_older_than(stored))
    {
        return false;
    }
    const bool is_first_without_zones = this->held.revision == 0 && stored.zones.empty();
    if (is_first_without_zones)
    {
        // Nothing has ever been evacuated as far as this node knows; there is nothing to tell.
        return false;
    }
    // A read without a change raises the revision too: an older state that is still on its way must not replace it.
    return this->replace(stored, now);
}

received_state replica::on_received(const zone_state& received, core::time_point now)
{
    if (received.is_older_than(this->held))
    {
        return {false, true};
    }
    if (!this->held.is_older_than(received))
    {
        return {};
    }
    const bool has_changed = this->replace(received, now);
    if (this->next_round == core::time_point::max())
    {
        this->next_round = now + this->settings.idle_interval;
    }
    return {has_changed, false};
}

bool replica::end_retention(core::time_point now)
{
    if (now < this->retained_until)
    {
        return false;
    }
    this->retained.clear();
    this->retained_until = core::time_point::max();
    return this->apply();
}

// Takes over a newer state and passes it on if it contains other zones.
bool replica::replace(const zone_state& newer, core::time_point now)
{
    if (this->held.revision != 0 && this->held.era < newer.era)
    {
        this->retained.insert(this->held.zones.begin(), this->held.zones.end());
        this->retained_until = now + this->settings.retention;
    }
    // A zone that the store contains again is no longer missing; its next removal holds.
    std::erase_if(this->retained, [&newer](const auto& zone) { return newer.contains(zone); });
    const bool differs = newer.zones != this->held.zones;
    this->held = newer;
    if (differs)
    {
        this->start_rounds(now);
    }
    return this->apply();
}

bool replica::apply()
{
    auto before = std::exchange(this->applied, this->held);
    this->applied.zones.insert(this->retained.begin(), this->retained.end());
    return before.zones != this->applied.zones;
}

std::size_t replica::due_copies(core::time_point now)
{
    if (now < this->next_round)
    {
        return 0;
    }
    if (this->rounds_left > 0)
    {
        --this->rounds_left;
        this->next_round = now + this->settings.round_interval;
        return this->settings.copies;
    }
    if (this->held.revision == 0)
    {
        this->next_round = core::time_point::max();
        return 0;
    }
    this->next_round = now + this->settings.idle_interval;
    return 1;
}

void replica::start_rounds(core::time_point now) noexcept
{
    this->rounds_left = this->settings.rounds;
    this->next_round = now;
}

} // namespace poplarport::evacuation
