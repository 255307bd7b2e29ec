#pragma once

#include <functional>       // function
#include <initializer_list> // initializer_list
#include <memory>           // unique_ptr

#include "poplarport/net/event_loop.hpp"

namespace poplarport::net
{

namespace detail
{
class descriptor_watch;
} // namespace detail

/// @brief Delivers process signals as events of an event loop.
class signal_watch
{
  public:
    /// @param[in] loop      event loop that runs the hook
    /// @param[in] signals   signal numbers; their normal delivery to the process is blocked
    /// @param[in] on_signal called with the signal number
    signal_watch(event_loop& loop, std::initializer_list<int> signals, std::function<void(int)> on_signal);
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

  private:
    std::unique_ptr<detail::descriptor_watch> watch;
};

} // namespace poplarport::net
