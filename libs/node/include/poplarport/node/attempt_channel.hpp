#pragma once

#include <cstddef>      // size_t
#include <functional>   // function
#include <optional>     // optional
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/attempts/attempt_event.hpp"
#include "poplarport/core/ids.hpp"
#include "poplarport/core/load_report.hpp"
#include "poplarport/http/message.hpp"

namespace poplarport::node
{

/// @brief What the receiving node tells beside the answer.
struct answer_context
{
    std::optional<core::load_report> load{}; ///< load of the endpoint when it answered
    core::version config_version{0};         ///< version under which the call was served
};

/// @brief End of an attempt without a whole answer.
struct attempt_failure
{
    attempts::attempt_event event{attempts::connection_lost{}}; ///< what happened, with its proof
    std::error_code reason{};                                   ///< the most specific result code known
    bool request_sent{true}; ///< whether a byte of the request may have reached the receiver
    answer_context context{};
};

/// @brief One attempt in progress, towards the local upstream or towards a peer.
///
/// No hook is called inside the function that starts the attempt, and none after on_end, on_failed or cancel().
class attempt_channel
{
  public:
    /// @brief Hooks of the attempt's owner; an empty one is skipped.
    struct hooks
    {
        std::function<void(const http::response_head&)> on_interim;
        std::function<void(http::response_head&, const answer_context&)> on_head; ///< head of the upstream's answer
        std::function<void(std::string_view)> on_body;
        std::function<void(const answer_context&)> on_end;
        std::function<void()> on_writable; ///< the output buffer is empty again
        std::function<void(const attempt_failure&)> on_failed;
    };

    attempt_channel() = default;
    virtual ~attempt_channel() = default;
    attempt_channel(const attempt_channel&) = delete;
    attempt_channel& operator=(const attempt_channel&) = delete;

    /// @brief Sends bytes of the request's body.
    virtual void send_body(std::string_view bytes) = 0;

    /// @brief Ends the request's body.
    virtual void finish_request() = 0;

    /// @brief Stops or restarts reading the answer.
    virtual void set_reading(bool enabled) = 0;

    /// @brief Gives the attempt up; a request that has not left is not sent any more.
    virtual void cancel() = 0;

    /// @return bytes of the request's body that wait in memory
    [[nodiscard]] virtual std::size_t pending_bytes() const noexcept = 0;

    /// @return whether a byte of the request may have reached the receiver
    [[nodiscard]] virtual bool has_sent_bytes() const noexcept = 0;
};

/// @brief Most bytes of a body that one attempt holds in memory before its sender is stopped.
inline constexpr std::size_t body_buffer_bytes = 65536;

} // namespace poplarport::node
