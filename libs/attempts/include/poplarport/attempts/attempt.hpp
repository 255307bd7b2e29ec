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

/// @brief State machine of one attempt; at the sender the only code that concludes `not_run`.
///
/// `not_run` needs a proof: a refusal by the receiver before dispatch, REFUSED_STREAM, GOAWAY below the stream, or
/// that no byte of the request was handed to the connection. A timeout is no proof. Once the head of an answer
/// arrived nothing proves `not_run`, because a peer that answers has processed the request.
class attempt
{
  public:
    /// @brief What is known about the request.
    enum class state
    {
        unsent,    ///< no byte was handed to the connection
        sent,      ///< the request may have reached the receiver
        answering, ///< the head of the answer arrived
        ended      ///< there is a result
    };

    /// @brief Processes an event. Events after the end are counted and change nothing.
    /// @param[in] event what happened
    /// @return the result when this event ended the attempt, otherwise nothing
    std::optional<attempt_result> handle(const attempt_event& event);

    /// @return the present state
    [[nodiscard]] state current() const noexcept
    {
        return this->position;
    }

    /// @return the result, or nothing while the attempt is in progress
    [[nodiscard]] const std::optional<attempt_result>& result() const noexcept
    {
        return this->ending;
    }

    /// @return whether a byte of the request was handed to the connection
    [[nodiscard]] bool bytes_left() const noexcept
    {
        return this->sent_bytes > 0;
    }

    /// @return events that arrived after the end
    [[nodiscard]] std::uint64_t late_events() const noexcept
    {
        return this->late;
    }

  private:
    std::optional<attempt_result> apply(const request_bytes_sent& event);
    std::optional<attempt_result> apply(const refused& event);
    std::optional<attempt_result> apply(const refused_stream& event);
    std::optional<attempt_result> apply(const goaway& event);
    std::optional<attempt_result> apply(const connection_lost& event);
    std::optional<attempt_result> apply(const answer_head& event);
    std::optional<attempt_result> apply(const answer_end& event);
    std::optional<attempt_result> apply(const unknown_reported& event);
    std::optional<attempt_result> apply(const local_timeout& event);
    std::optional<attempt_result> apply(const cancelled& event);
    std::optional<attempt_result> apply(const hedge_lost& event);
    std::optional<attempt_result> apply(const no_endpoint& event);

    [[nodiscard]] attempt_result proved(error code) const;
    [[nodiscard]] attempt_result unproved(error code) const;

    state position{state::unsent};
    std::size_t sent_bytes{0};
    std::optional<attempt_result> ending;
    std::uint64_t late{0};
};

} // namespace poplarport::attempts
