#pragma once

#include <cstddef>      // size_t
#include <functional>   // function
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/http/message.hpp"

namespace poplarport::peer
{

/// @brief Proof that the receiver did not run a failed call.
enum class proof
{
    none,           ///< no proof; the receiver may have run the call
    not_sent,       ///< no byte of the stream's HEADERS frame left the process
    refused_stream, ///< the receiver sent RST_STREAM with REFUSED_STREAM before any response
    goaway_below    ///< the receiver sent GOAWAY with a last stream id below the stream
};

/// @return the name of a proof, for logs
[[nodiscard]] std::string_view to_string(proof value) noexcept;

/// @brief Failure of a call, with the proof that it did not run, if any.
struct call_failure
{
    std::error_code error{};
    proof not_run{proof::none};
    bool header_received{false}; ///< the header section of the response had been received
};

/// @brief One call on a link: a request and its response on one stream.
class client_call
{
  public:
    /// @brief Callbacks of a call; empty ones are skipped. None is called after on_end, on_failed or cancel().
    struct hooks
    {
        std::function<void(const http::response_header&)> on_interim;   ///< an interim (1xx) response
        std::function<void(http::response_header&)> on_response_header; ///< header section of the final response
        std::function<void(std::string_view)> on_body;                  ///< bytes of the response body
        std::function<void()> on_end;                                   ///< the response is complete
        std::function<void()> on_writable;                              ///< the call's output buffer has become empty
        std::function<void(const call_failure&)> on_failed;             ///< no complete response will be received
    };

    client_call() = default;
    virtual ~client_call() = default;
    client_call(const client_call&) = delete;
    client_call& operator=(const client_call&) = delete;

    /// @brief Sends bytes of the request body; ignored when the request was started without a body.
    virtual void send_body(std::string_view bytes) = 0;

    /// @brief Marks the end of the request body. The call fails when fewer bytes were sent than announced.
    virtual void finish_request() = 0;

    /// @brief Pauses or resumes delivery of the response body; while paused, up to one stream window is buffered.
    virtual void set_reading(bool enabled) = 0;

    /// @brief Cancels the call; no callback is called afterwards.
    /// @return not_sent when it is certain that no byte of the call leaves the process, otherwise none
    virtual proof cancel() = 0;

    /// @return bytes of the request body in the call's output buffer; on_writable is called when it has become empty
    [[nodiscard]] virtual std::size_t pending_bytes() const noexcept = 0;
};

} // namespace poplarport::peer
