#pragma once

#include <deque> // deque

#include "poplarport/core/load_report.hpp"
#include "poplarport/core/time.hpp"

namespace poplarport::standins
{

/// @brief Load over time, for reports that lag behind.
class load_history
{
  public:
    /// @brief Adds the load from a time on and forgets what a lag of this length cannot show any more.
    void record(const core::load_report& load, core::time_point now, core::duration lag);

    /// @return the load at a time, or the oldest one known
    [[nodiscard]] core::load_report at(core::time_point when) const;

  private:
    struct entry
    {
        core::time_point since;
        core::load_report load;
    };

    std::deque<entry> entries{};
};

} // namespace poplarport::standins
