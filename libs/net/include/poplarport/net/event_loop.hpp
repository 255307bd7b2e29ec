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
/// All members are called from the thread that runs the loop. Sockets and timers must be destroyed before the loop.
class event_loop
{
  public:
    /// @brief Limits of a loop.
    struct options
    {
        std::size_t max_descriptors{4096};       ///< greatest number of open descriptors of the process
        std::size_t receive_buffer_bytes{65536}; ///< most bytes that one read event hands to a socket
    };

    /// @throw std::system_error with errc::loop_setup_failed
    event_loop();

    /// @param[in] limits limits of the loop
    /// @throw std::system_error with errc::loop_setup_failed
    explicit event_loop(const options& limits);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// @brief Handles events until stop() is called.
    void run();

    /// @brief Handles the events that are ready, waiting for the next event or timer when there is none.
    void run_once();

    /// @brief Makes run() return after the events that are being handled.
    void stop() noexcept;

    /// @brief Runs a function in a later iteration; the way in which tasks hand messages to each other.
    /// @param[in] work function to run once
    void post(std::function<void()> work);

    /// @return the monotonic time, read at the call
    [[nodiscard]] core::time_point now() const noexcept;

    /// @brief Time by which this iteration started later than its timers asked for.
    ///
    /// Bytes read in this iteration may have waited for that long, because the process was paused or overloaded.
    /// @return zero while the loop keeps up
    [[nodiscard]] core::duration stall() const noexcept;

    /// @return the libwebsockets context, for code that uses libwebsockets' own HTTP server or client
    [[nodiscard]] lws_context* context() const noexcept;

    /// @return the virtual host without a listener that owns the raw sockets of this library
    [[nodiscard]] lws_vhost* raw_vhost() const noexcept;

    /// @return the queue behind the timers of this loop
    [[nodiscard]] detail::timer_queue& timers() noexcept;

  private:
    struct state;
    std::unique_ptr<state> data;
};

} // namespace poplarport::net
