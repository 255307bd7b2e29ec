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

/// @brief Metadata that the receiving node sends with a response.
struct response_context
{
    std::optional<core::load_report> load{}; ///< load of the endpoint at the time of its response
    core::version config_version{0};         ///< configuration version under which the call was served
};

/// @brief Failure of an attempt that ended without a complete response.
struct attempt_failure
{
    attempts::attempt_event event{attempts::connection_lost{}}; ///< what ended the attempt, with its proof
    std::error_code reason{};                                   ///< the most specific known result code
    bool request_sent{true}; ///< whether a byte of the request may have reached the receiver
    response_context context{};
};

/// @brief One attempt in progress, at the local upstream or at a peer.
///
/// No callback is called inside the function that starts the attempt, and none after on_end, on_failed or cancel().
class attempt_channel
{
  public:
    /// @brief Callbacks of the attempt's owner; empty ones are skipped.
    struct hooks
    {
        std::function<void(const http::response_header&)> on_interim;
        /// Receives the header section of the upstream's response.
        std::function<void(http::response_header&, const response_context&)> on_response_header;
        std::function<void(std::string_view)> on_body;
        std::function<void(const response_context&)> on_end;
        std::function<void()> on_writable; ///< the output buffer has become empty
        std::function<void(const attempt_failure&)> on_failed;
    };

    attempt_channel() = default;
    virtual ~attempt_channel() = default;
    attempt_channel(const attempt_channel&) = delete;
    attempt_channel& operator=(const attempt_channel&) = delete;

    /// @brief Sends bytes of the request body.
    virtual void send_body(std::string_view bytes) = 0;

    /// @brief Marks the end of the request body.
    virtual void finish_request() = 0;

    /// @brief Pauses or resumes reading the response.
    virtual void set_reading(bool enabled) = 0;

    /// @brief Cancels the attempt; a request that has not been sent yet is not sent.
    virtual void cancel() = 0;

    /// @return bytes of the request body in the output buffer
    [[nodiscard]] virtual std::size_t pending_bytes() const noexcept = 0;

    /// @return whether a byte of the request may have reached the receiver
    [[nodiscard]] virtual bool has_sent_bytes() const noexcept = 0;
};

/// @brief Maximum number of body bytes that an attempt buffers; above it, reading from the sender is paused.
inline constexpr std::size_t body_buffer_bytes = 65536;

} // namespace poplarport::node
