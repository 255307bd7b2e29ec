#pragma once

#include <chrono>     // microseconds
#include <cstddef>    // size_t
#include <functional> // function
#include <memory>     // unique_ptr
#include <vector>     // vector

#include "poplarport/load/call_record.hpp"
#include "poplarport/load/plan.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::load
{

/// @brief Data of one call for the reports.
struct call_sample
{
    std::chrono::microseconds offset{0};  ///< scheduled time, from the start of the run
    std::chrono::microseconds latency{0}; ///< measured from the scheduled time
    std::size_t tenant{0};                ///< index in the plan
    std::size_t kind{0};                  ///< index in the plan
    std::size_t phase{0};                 ///< index in the plan
    call_outcome outcome{call_outcome::unknown};
    bool body_mismatch{false};
};

/// @brief A time in which the load tool itself did not run, for example because its VM was busy.
struct run_pause
{
    std::chrono::microseconds begin{0}; ///< from the start of the run
    std::chrono::microseconds end{0};
};

/// @brief Progress of a run.
struct run_progress
{
    std::chrono::milliseconds elapsed{0};
    std::size_t sent{0};
    std::size_t ended{0};
    std::size_t waiting_for_connection{0}; ///< included in sent
};

/// @brief Makes the calls of a plan at their scheduled times, regardless of the responses (open loop).
///
/// Latency is measured from the scheduled time, so that it includes time spent waiting for a connection or a late event
/// loop (no coordinated omission). No call is repeated.
class runner
{
  public:
    /// @param[in] loop     event loop of the run
    /// @param[in] run_plan plan; must be valid, see check()
    /// @param[in] ledger   ledger of the calls; must outlive the runner
    /// @param[in] on_done  called once, after the end of the last call
    runner(net::event_loop& loop, const plan& run_plan, call_ledger& ledger, std::function<void()> on_done);
    ~runner();
    runner(const runner&) = delete;
    runner& operator=(const runner&) = delete;

    /// @brief Starts the schedule.
    void start();

    /// @brief Stops the schedule; calls in progress run to their end.
    void stop();

    /// @return the calls that have ended so far
    [[nodiscard]] const std::vector<call_sample>& samples() const noexcept;

    /// @return the pauses of this process so far, in order
    [[nodiscard]] const std::vector<run_pause>& pauses() const noexcept;

    /// @return the current progress of the run
    [[nodiscard]] run_progress progress() const;

    class state;

  private:
    std::unique_ptr<state> data;
};

} // namespace poplarport::load
