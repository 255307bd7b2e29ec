#pragma once

#include <cstddef>      // size_t
#include <functional>   // function
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/http/message.hpp"

namespace poplarport::peer
{

/// @brief Why it is certain that the receiver ran nothing of a failed call.
enum class proof
{
    none,           ///< there is no proof: the receiver may have run the call
    not_sent,       ///< no byte of the stream's HEADERS left the process
    refused_stream, ///< the receiver sent RST_STREAM with REFUSED_STREAM before any answer
    goaway_below    ///< the receiver sent GOAWAY with a last stream id below the stream
};

/// @return the name of a proof, for logs
[[nodiscard]] std::string_view to_string(proof value) noexcept;

/// @brief Why a call failed, and what that proves.
struct call_failure
{
    std::error_code error{};
    proof not_run{proof::none};
    bool head_received{false}; ///< the head of the answer had arrived
};

/// @brief One call on a link: a request and its answer on one stream.
class client_call
{
  public:
    /// @brief Hooks of a call; an empty one is skipped. None is called after on_end, on_failed or cancel().
    struct hooks
    {
        std::function<void(const http::response_head&)> on_interim; ///< an interim (1xx) answer
        std::function<void(http::response_head&)> on_head;          ///< head of the final answer
        std::function<void(std::string_view)> on_body;              ///< bytes of the answer's body
        std::function<void()> on_end;                               ///< the answer is complete
        std::function<void()> on_writable;                          ///< the call's output buffer is empty again
        std::function<void(const call_failure&)> on_failed;         ///< no complete answer will arrive
    };

    client_call() = default;
    virtual ~client_call() = default;
    client_call(const client_call&) = delete;
    client_call& operator=(const client_call&) = delete;

    /// @brief Sends bytes of the request's body; ignored when the request was announced without one.
    virtual void send_body(std::string_view bytes) = 0;

    /// @brief Ends the request's body. With fewer bytes than announced the call fails.
    virtual void finish_request() = 0;

    /// @brief Stops or restarts the delivery of the answer's body; up to one stream window of it is buffered.
    virtual void set_reading(bool enabled) = 0;

    /// @brief Gives the call up; no hook is called any more.
    /// @return not_sent when it is certain that no byte of the call leaves the process, else none
    virtual proof cancel() = 0;

    /// @return bytes of the request's body in the call's own buffer; on_writable follows when they are gone
    [[nodiscard]] virtual std::size_t pending_bytes() const noexcept = 0;
};

} // namespace poplarport::peer
