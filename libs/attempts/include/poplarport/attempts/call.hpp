#pragma once

#include <cstdint>      // uint64_t
#include <optional>     // optional
#include <random>       // mt19937_64
#include <system_error> // error_code
#include <vector>       // vector

#include "poplarport/attempts/attempt.hpp"
#include "poplarport/attempts/call_action.hpp"
#include "poplarport/attempts/call_settings.hpp"
#include "poplarport/attempts/retry_budget.hpp"

namespace poplarport::attempts
{

/// @brief State machine of one call: starts its attempts, retries and hedges.
///
/// The owner performs the returned actions, reports the events of each attempt, and calls `tick` at `next_wakeup`.
/// Events after the action `finish` are counted and otherwise ignored.
class call
{
  public:
    /// @param[in] request_properties  properties of the request
    /// @param[in] attempt_limits limits for its attempts
    /// @param[in] service_budget retry budget of the service; must outlive the call
    call(const call_request& request_properties, const call_limits& attempt_limits, retry_budget& service_budget);

    /// @brief Starts the first attempt. Must be called once, before any other function.
    /// @param[in] now current time
    /// @return the start of the first attempt, or `finish` if the deadline has passed
    [[nodiscard]] call_actions start(core::time_point now);

    /// @brief Records the endpoint that the owner picked for an attempt; later attempts exclude it.
    void on_endpoint_selected(const core::node_id& endpoint);

    /// @brief Records that a portion of the request body is no longer buffered; from now on no other attempt starts.
    void on_body_discarded() noexcept;

    /// @brief Processes an event of an attempt.
    [[nodiscard]] call_actions on_event(attempt_id id, const attempt_event& event, core::time_point now,
                                        std::mt19937_64& random);

    /// @brief Cancels the call on behalf of the caller.
    [[nodiscard]] call_actions on_cancelled();

    /// @brief Ends the call at its deadline and starts a hedge or a delayed retry when it is due.
    [[nodiscard]] call_actions tick(core::time_point now);

    /// @return when `tick` must be called next, or nothing after the call has ended
    [[nodiscard]] std::optional<core::time_point> next_wakeup() const;

    [[nodiscard]] bool finished() const noexcept
    {
        return this->is_finished;
    }

    /// @return the attempt whose response header was forwarded, if any
    [[nodiscard]] std::optional<attempt_id> forwarded_attempt() const noexcept
    {
        return this->responding_attempt;
    }

    /// @return the number of events that arrived after their attempt had ended, or that name no known attempt
    [[nodiscard]] std::uint64_t late_events() const noexcept;

  private:
    struct pending_start
    {
        core::time_point due;
        std::optional<core::node_id> preferred_endpoint;
    };

    [[nodiscard]] start_parameters add_attempt(core::time_point now, std::optional<core::node_id> preferred_endpoint);
    [[nodiscard]] std::error_code check_attempt_allowed(core::time_point now) const;
    [[nodiscard]] std::error_code check_retry_allowed(core::time_point now) const;
    [[nodiscard]] std::optional<core::node_id> find_untried(const std::vector<core::node_id>& candidates) const;
    [[nodiscard]] core::duration retry_delay(std::mt19937_64& random) const;
    [[nodiscard]] bool any_in_progress() const;
    [[nodiscard]] core::outcome overall_outcome() const;

    void on_response_header(attempt_id id, call_actions& actions);
    void on_ended(const attempt_event& event, const attempt_result& result, core::time_point now,
                  std::mt19937_64& random, call_actions& actions);
    void end_remaining(std::optional<attempt_id> kept, const attempt_event& event, call_actions& actions);
    void end_call(core::outcome outcome, std::error_code code, std::error_code stopped_by, call_actions& actions);
    void start_pending(core::time_point now, call_actions& actions);
    void start_due_hedge(core::time_point now, call_actions& actions);

    call_request request;
    call_limits limits;
    retry_budget* budget;
    std::vector<attempt> attempts;
    std::vector<core::node_id> tried_endpoints;
    std::optional<pending_start> pending;
    std::optional<core::time_point> hedge_due;
    std::optional<attempt_id> responding_attempt;
    std::uint32_t extra_attempts{0};
    std::uint32_t free_retries_used{0};
    bool free_redirect_used{false};
    bool body_buffered{true};
    bool is_finished{false};
    std::uint64_t ignored_events{0};
};

} // namespace poplarport::attempts
