#pragma once

#include <cstddef> // size_t
#include <cstdint> // int32_t, uint8_t, uint32_t

#include <nghttp2/nghttp2.h>

namespace poplarport::peer::detail
{

class session;

/// @brief The nghttp2 callbacks of a session.
struct session_callbacks
{
    /// @return the table of callbacks, shared by all sessions
    [[nodiscard]] static const nghttp2_session_callbacks* table();

    /// @return the data provider for bodies, which reads from the stream's output buffer
    [[nodiscard]] static nghttp2_data_provider body_provider() noexcept;

  private:
    static int on_begin_headers(nghttp2_session* native, const nghttp2_frame* frame, void* user);
    static int on_header(nghttp2_session* native, const nghttp2_frame* frame, const std::uint8_t* name,
                         std::size_t name_length, const std::uint8_t* value, std::size_t value_length,
                         std::uint8_t flags, void* user);
    static int on_invalid_header(nghttp2_session* native, const nghttp2_frame* frame, const std::uint8_t* name,
                                 std::size_t name_length, const std::uint8_t* value, std::size_t value_length,
                                 std::uint8_t flags, void* user);
    static int on_frame(nghttp2_session* native, const nghttp2_frame* frame, void* user);
    static int on_data(nghttp2_session* native, std::uint8_t flags, std::int32_t stream_id, const std::uint8_t* bytes,
                       std::size_t length, void* user);
    static int on_stream_close(nghttp2_session* native, std::int32_t stream_id, std::uint32_t code, void* user);
    static int before_frame_send(nghttp2_session* native, const nghttp2_frame* frame, void* user);
    static int on_frame_sent(nghttp2_session* native, const nghttp2_frame* frame, void* user);
    static int on_frame_not_sent(nghttp2_session* native, const nghttp2_frame* frame, int code, void* user);
    static ssize_t read_body(nghttp2_session* native, std::int32_t stream_id, std::uint8_t* buffer, std::size_t length,
                             std::uint32_t* flags, nghttp2_data_source* source, void* user);
    static int receive_headers(session& target, const nghttp2_frame& frame);
};

} // namespace poplarport::peer::detail
