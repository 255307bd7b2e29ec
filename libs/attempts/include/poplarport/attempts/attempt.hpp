#pragma once

#include <cstdint>      // uint64_t
#include <optional>     // optional
#include <system_error> // error_code

#include "poplarport/attempts/attempt_event.hpp"
#include "poplarport/attempts/errors.hpp"
#include "poplarport/core/outcome.hpp"

namespace poplarport::attempts
{

/// @brief How an attempt ended.
struct attempt_result
{
    core::outcome outcome{core::outcome::unknown};
    std::error_code code; ///< empty for `answered`

    bool operator==(const attempt_result&) const = default;
};

/// @brief State machine of one attempt; the only code at the sender that concludes `not_run`.
///
/// `not_run` requires proof: a refusal by the receiver before dispatch, REFUSED_STREAM, a GOAWAY whose last stream is
/// below the attempt's stream, or no byte of the request passed to the connection. A timeout proves nothing. After the
/// response header has arrived, `not_run` can no longer be proved, because a peer that responds has processed the
/// request.
class attempt
{
  public:
    /// @brief How far the request and its response have progressed.
    enum class state
    {
        unsent,     ///< no byte was passed to the connection
        sent,       ///< the request may have reached the receiver
        responding, ///< the response header has arrived
        ended       ///< the result is final
    };

    /// @brief Processes an event. Events after the attempt has ended are counted and otherwise ignored.
    /// @param[in] event the event
    /// @return the result if this event ended the attempt, nothing otherwise
    std::optional<attempt_result> handle(const attempt_event& event);

    /// @return the current state
    [[nodiscard]] state current() const noexcept
    {
        return this->current_state;
    }

    /// @return the result, or nothing while the attempt is in progress
    [[nodiscard]] const std::optional<attempt_result>& result() const noexcept
    {
        return this->final_result;
    }

    /// @return whether any byte of the request was passed to the connection
    [[nodiscard]] bool has_sent_bytes() const noexcept
    {
        return this->sent_bytes > 0;
    }

    /// @return the number of events that arrived after the attempt had ended
    [[nodiscard]] std::uint64_t late_events() const noexcept
    {
        return this->late_event_count;
    }

  private:
    std::optional<attempt_result> apply(const request_bytes_sent& event);
    std::optional<attempt_result> apply(const refused& event);
    std::optional<attempt_result> apply(const refused_stream& event);
    std::optional<attempt_result> apply(const goaway& event);
    std::optional<attempt_result> apply(const connection_lost& event);
    std::optional<attempt_result> apply(const response_started& event);
    std::optional<attempt_result> apply(const response_completed& event);
    std::optional<attempt_result> apply(const unknown_reported& event);
    std::optional<attempt_result> apply(const local_timeout& event);
    std::optional<attempt_result> apply(const cancelled& event);
    std::optional<attempt_result> apply(const hedge_lost& event);
    std::optional<attempt_result> apply(const no_endpoint& event);

    [[nodiscard]] attempt_result not_run_result(error code) const;
    [[nodiscard]] attempt_result unknown_result(error code) const;

    state current_state{state::unsent};
    std::size_t sent_bytes{0};
    std::optional<attempt_result> final_result;
    std::uint64_t late_event_count{0};
};

} // namespace poplarport::attempts
