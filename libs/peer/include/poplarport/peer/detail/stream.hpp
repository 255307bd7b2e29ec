#pragma once

#include <cstddef>      // size_t
#include <cstdint>      // int32_t, uint32_t, uint8_t
#include <memory>       // enable_shared_from_this, shared_ptr, weak_ptr
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/peer/client_call.hpp"
#include "poplarport/peer/detail/header_codec.hpp"

namespace poplarport::peer::detail
{

class session;

/// @brief One stream of a session: its buffers and the handlers of its events.
class stream : public std::enable_shared_from_this<stream>
{
  public:
    explicit stream(std::weak_ptr<session> owner) noexcept;
    virtual ~stream();
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    /// @return bytes in the output buffer
    [[nodiscard]] std::size_t queued_bytes() const noexcept;

  protected:
    friend class session;
    friend struct session_callbacks;

    /// @brief Called when a complete header block has been received.
    /// @return false when it is invalid; the stream is then reset
    [[nodiscard]] virtual bool receive_header(const header_block& block, bool has_body) = 0;
    virtual void receive_body(std::string_view bytes) = 0;
    virtual void receive_end() = 0;
    virtual void output_drained() = 0;

    /// @brief Called when the stream or its connection has ended; the session no longer refers to the stream.
    virtual void closed(std::error_code error, proof not_run) = 0;

    /// @brief Appends to the output buffer.
    void queue_output(std::string_view bytes);

    /// @brief Marks the end of the output.
    void end_output();

    /// @brief Moves bytes from the output buffer to a target buffer.
    /// @param[in] capacity size of the target in bytes
    /// @return number of bytes copied
    std::size_t pull_output(std::uint8_t* target, std::size_t capacity);

    /// @brief Enables or pauses delivery of the input; while paused, the buffered bytes are limited by the stream's
    /// flow-control window.
    void set_input_enabled(bool enabled);

    /// @brief Processes body bytes received from the connection.
    void receive_input(std::string_view bytes);

    /// @brief Processes the end of the input received from the connection.
    void receive_input_end();

    /// @brief Discards buffered input, so that it does not occupy the session's flow-control window.
    void discard_input();

    std::weak_ptr<session> owning_session;
    std::int32_t id{-1};
    header_block block{};
    bool header_received{false};               ///< the header section of the response or request was delivered
    bool input_ended{false};                   ///< END_STREAM was received
    bool end_delivered{false};                 ///< receive_end was called
    bool output_ended{false};                  ///< no more output follows
    bool has_large_output{false};              ///< the output takes long on a narrow link
    bool end_sent{false};                      ///< END_STREAM was packed
    std::optional<std::uint32_t> reset_code{}; ///< error code of a received RST_STREAM
    bool output_deferred{false};               ///< nghttp2 waits for resume_output()
    bool packed{false};                        ///< the request's HEADERS frame was passed to the socket
    std::size_t first_byte_offset{0};          ///< bytes sent on the connection before the stream's HEADERS frame

  private:
    void deliver();

    std::string output{};
    std::size_t output_offset{0};
    std::string input_buffer{};
    bool reading{true};
    bool delivering{false};
};

} // namespace poplarport::peer::detail
