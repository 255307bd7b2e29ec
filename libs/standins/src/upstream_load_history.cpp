#include "upstream_load_history.hpp"

namespace poplarport::standins
{

void load_history::record(const core::load_report& load, core::time_point now, core::duration lag)
{
    this->entries.push_back({now, load});
    while (this->entries.size() > 1 && this->entries[1].since <= now - lag)
    {
        this->entries.pop_front();
    }
}

core::load_report load_history::load_at(core::time_point time) const
{
    core::load_report result = this->entries.empty() ? core::load_report{} : this->entries.front().load;
    for (const auto& candidate : this->entries)
    {
        if (candidate.since > time)
        {
            break;
        }
        result = candidate.load;
    }
    return result;
}

} // namespace poplarport::standins
