#pragma once

#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // unique_ptr

#include "poplarport/core/time.hpp"

struct lws_context;
struct lws_vhost;

namespace poplarport::net
{

namespace detail
{
class timer_queue;
} // namespace detail

/// @brief The single event loop of a process: a libwebsockets context, timers and posted functions.
///
/// All members must be called from the thread that runs the loop. Sockets and timers must be destroyed before the loop.
class event_loop
{
  public:
    /// @brief Limits of an event loop.
    struct options
    {
        std::size_t max_descriptors{4096};       ///< maximum number of open descriptors of the process
        std::size_t receive_buffer_bytes{65536}; ///< maximum number of bytes that one read event passes to a socket
    };

    /// @throw std::system_error with errc::loop_setup_failed
    event_loop();

    /// @param[in] limits limits of the loop
    /// @throw std::system_error with errc::loop_setup_failed
    explicit event_loop(const options& limits);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// @brief Processes events until stop() is called.
    void run();

    /// @brief Processes the events that are ready; if there are none, waits for the next event or timer.
    void run_once();

    /// @brief Makes run() return after the events that are being processed.
    void stop() noexcept;

    /// @brief Queues a function for a later iteration. Components use it to pass messages to each other.
    /// @param[in] task function to call once
    void post(std::function<void()> task);

    /// @return the current monotonic time, read from the clock on each call
    [[nodiscard]] core::time_point now() const noexcept;

    /// @brief Delay of the current iteration behind the earliest expired timer.
    ///
    /// Bytes read in this iteration may have been waiting for that long, because the process was paused or overloaded.
    /// @return the delay, or zero if it is within ordinary scheduling jitter
    [[nodiscard]] core::duration stall() const noexcept;

    /// @return the libwebsockets context, for code that uses the HTTP server or client of libwebsockets
    [[nodiscard]] lws_context* context() const noexcept;

    /// @return the libwebsockets virtual host, without a listener, that owns the raw sockets of this library
    [[nodiscard]] lws_vhost* raw_vhost() const noexcept;

    /// @return the timers of this loop
    [[nodiscard]] detail::timer_queue& timers() noexcept;

  private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace poplarport::net
