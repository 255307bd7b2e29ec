#pragma once

#include <deque> // deque

#include "poplarport/core/load_report.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::standins
{

/// @brief History of the load, for reports that show a past state.
class load_history
{
  public:
    /// @brief Records the current load and drops entries that a report with this lag no longer needs.
    void record(const core::load_report& load, core::time_point now, core::duration lag);

    /// @return the load at a time, or the oldest recorded one
    [[nodiscard]] core::load_report load_at(core::time_point time) const;

  private:
    struct entry
    {
        core::time_point since;
        core::load_report load;
    };

    std::deque<entry> entries{};
};

} // namespace poplarport::standins
