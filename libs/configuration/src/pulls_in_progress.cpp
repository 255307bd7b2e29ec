#include "poplarport/configuration/pulls_in_progress.hpp"

#include <algorithm> // ranges::count_if

namespace poplarport::configuration
{

void pulls_in_progress::on_begun(const core::node_id& member, core::time_point now)
{
    this->pulls[member] = {now, false};
}

void pulls_in_progress::on_ended(const core::node_id& member)
{
    this->pulls.erase(member);
}

void pulls_in_progress::on_announced(core::time_point now)
{
    for (auto& [member, each] : this->pulls)
    {
        each.is_late = each.is_late || now - each.begun_at >= this->limits.late_after;
    }
}

bool pulls_in_progress::has_room() const noexcept
{
    return this->counted() < this->limits.pulls && this->pulls.size() < this->limits.all_pulls;
}

bool pulls_in_progress::is_nearly_full() const noexcept
{
    return this->counted() + 1 >= this->limits.pulls || this->pulls.size() + 1 >= this->limits.all_pulls;
}

bool pulls_in_progress::contains(const core::node_id& member) const
{
    return this->pulls.contains(member);
}

std::size_t pulls_in_progress::counted() const noexcept
{
    const auto is_counted = [](const auto& each)
    {
        return !each.second.is_late;
    };
    return static_cast<std::size_t>(std::ranges::count_if(this->pulls, is_counted));
}

} // namespace poplarport::configuration
