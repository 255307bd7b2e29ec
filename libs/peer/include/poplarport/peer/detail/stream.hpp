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

/// @brief One stream of a session: its buffers, and the events that the session hands to it.
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

    /// @brief A whole header block arrived.
    /// @return false when it is invalid, so that the stream is reset
    [[nodiscard]] virtual bool receive_head(const header_block& block, bool has_body) = 0;
    virtual void receive_body(std::string_view bytes) = 0;
    virtual void receive_end() = 0;
    virtual void output_drained() = 0;

    /// @brief The stream, or its connection, ended; the session has forgotten it.
    virtual void closed(std::error_code error, proof not_run) = 0;

    /// @brief Appends to the output buffer.
    void queue_output(std::string_view bytes);

    /// @brief Marks the end of the output.
    void end_output();

    /// @brief Moves bytes out of the output buffer.
    /// @return how many were copied
    std::size_t pull_output(std::uint8_t* target, std::size_t room);

    /// @brief Delivers or withholds the input; withheld bytes stay within the stream's window.
    void set_input_enabled(bool enabled);

    /// @brief Takes bytes from the connection.
    void take_input(std::string_view bytes);

    /// @brief Takes the end of the input from the connection.
    void take_input_end();

    /// @brief Discards withheld input, so that the session's window is not used up by it.
    void discard_input();

    std::weak_ptr<session> carrier;
    std::int32_t id{-1};
    header_block block{};
    bool head_received{false};                 ///< the head of the answer, or of the request, was delivered
    bool input_ended{false};                   ///< END_STREAM was received
    bool end_delivered{false};                 ///< receive_end was called
    bool output_ended{false};                  ///< no further output follows
    bool end_sent{false};                      ///< END_STREAM was packed
    std::optional<std::uint32_t> reset_code{}; ///< error code of a received RST_STREAM
    bool output_deferred{false};               ///< nghttp2 waits for resume_output()
    bool packed{false};                        ///< the request's HEADERS were handed to the socket
    std::size_t first_byte_offset{0};          ///< bytes of the connection before the stream's HEADERS

  private:
    void deliver();

    std::string output{};
    std::size_t output_offset{0};
    std::string held{};
    bool reading{true};
    bool delivering{false};
};

} // namespace poplarport::peer::detail
