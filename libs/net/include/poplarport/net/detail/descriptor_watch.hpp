#pragma once

#include <functional> // function

#include "poplarport/net/event_loop.hpp"

struct lws;

namespace poplarport::net::detail
{

/// @brief Calls a function whenever a descriptor is readable. Owns the descriptor and closes it.
class descriptor_watch
{
  public:
    /// @param[in] loop        event loop that polls the descriptor
    /// @param[in] descriptor  non-blocking descriptor; its ownership passes to the watch
    /// @param[in] on_readable called when the descriptor is readable; must read until the descriptor would block
    descriptor_watch(event_loop& loop, int descriptor, std::function<void()> on_readable);
    ~descriptor_watch();
    descriptor_watch(const descriptor_watch&) = delete;
    descriptor_watch& operator=(const descriptor_watch&) = delete;

    /// @return the watched descriptor
    [[nodiscard]] int descriptor() const noexcept;

    /// @brief Calls on_readable; called by the loop.
    void notify() const;

    /// @brief Clears the pointer to the connection after libwebsockets has closed it; called by the loop.
    void detach() noexcept;

  private:
    int watched_descriptor;
    std::function<void()> hook;
    lws* connection;
};

} // namespace poplarport::net::detail
