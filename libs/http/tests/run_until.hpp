#pragma once

#include <chrono>     // seconds
#include <functional> // function

#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::http
{

/// @brief Runs the loop until the condition holds or the time limit expires.
/// @return whether the condition holds
inline bool run_until(net::event_loop& loop, const std::function<bool()>& condition,
                      core::duration limit = std::chrono::seconds{10})
{
    bool expired = false;
    net::timer timer{loop, [&]
                     {
                         expired = true;
                     }};
    timer.schedule(limit);
    while (!condition() && !expired)
    {
        loop.run_once();
    }
    return !expired;
}

} // namespace poplarport::http
