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

/// @brief What the reports need of one call.
struct call_sample
{
    std::chrono::microseconds offset{0};  ///< scheduled time from the start of the run
    std::chrono::microseconds latency{0}; ///< from the scheduled time
    std::size_t tenant{0};                ///< index in the plan
    std::size_t kind{0};                  ///< index in the plan
    std::size_t phase{0};                 ///< index in the plan
    call_outcome outcome{call_outcome::unknown};
    bool body_mismatch{false};
};

/// @brief State of a run, for the progress line.
struct run_progress
{
    std::chrono::milliseconds elapsed{0};
    std::size_t sent{0};
    std::size_t ended{0};
    std::size_t waiting{0}; ///< calls without a connection, part of those sent
};

/// @brief Makes the calls of a plan at their scheduled times, without regard to the answers (open loop).
///
/// Latency counts from the scheduled time, so that calls that wait for a connection or for a late loop are not
/// reported as fast. No call is repeated.
class runner
{
  public:
    /// @param[in] loop    loop of the run
    /// @param[in] values  a plan without faults
    /// @param[in] ledger  receives the calls; must outlive the runner
    /// @param[in] on_done called once when the last call has ended
    runner(net::event_loop& loop, const plan& values, call_ledger& ledger, std::function<void()> on_done);
    ~runner();
    runner(const runner&) = delete;
    runner& operator=(const runner&) = delete;

    /// @brief Starts the schedule now.
    void start();

    /// @brief Makes no further calls; those that were sent end by themselves.
    void stop();

    /// @return the calls that have ended
    [[nodiscard]] const std::vector<call_sample>& samples() const noexcept;

    /// @return the state of the run
    [[nodiscard]] run_progress progress() const;

    class state;

  private:
    std::unique_ptr<state> data;
};

} // namespace poplarport::load
