#include "poplarport/peer/detail/session_callbacks.hpp"

#include <cstring> // memcpy
#include <memory>  // unique_ptr
#include <new>     // bad_alloc
#include <utility> // exchange

#include "poplarport/peer/detail/session.hpp"
#include "poplarport/peer/errors.hpp"

namespace poplarport::peer::detail
{

namespace
{

session& self(void* user) noexcept
{
    return *static_cast<session*>(user);
}

std::string_view to_text(const std::uint8_t* bytes, std::size_t length) noexcept
{
    return {reinterpret_cast<const char*>(bytes), length};
}

bool ends_stream(const nghttp2_frame& frame) noexcept
{
    return (frame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

struct table_deleter
{
    void operator()(nghttp2_session_callbacks* target) const noexcept
    {
        nghttp2_session_callbacks_del(target);
    }
};

} // namespace

const nghttp2_session_callbacks* session_callbacks::table()
{
    static const std::unique_ptr<nghttp2_session_callbacks, table_deleter> instance = []
    {
        nghttp2_session_callbacks* created = nullptr;
        if (nghttp2_session_callbacks_new(&created) != 0)
        {
            throw std::bad_alloc{};
        }
        nghttp2_session_callbacks_set_on_begin_headers_callback(created, on_begin_headers);
        nghttp2_session_callbacks_set_on_header_callback(created, on_header);
        nghttp2_session_callbacks_set_on_invalid_header_callback(created, on_invalid_header);
        nghttp2_session_callbacks_set_on_frame_recv_callback(created, on_frame);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(created, on_data);
        nghttp2_session_callbacks_set_on_stream_close_callback(created, on_stream_close);
        nghttp2_session_callbacks_set_before_frame_send_callback(created, before_frame_send);
        nghttp2_session_callbacks_set_on_frame_send_callback(created, on_frame_sent);
        nghttp2_session_callbacks_set_on_frame_not_send_callback(created, on_frame_not_sent);
        return std::unique_ptr<nghttp2_session_callbacks, table_deleter>{created};
    }();
    return instance.get();
}

nghttp2_data_provider session_callbacks::body_provider() noexcept
{
    nghttp2_data_provider provider{};
    provider.read_callback = read_body;
    return provider;
}

int session_callbacks::on_begin_headers(nghttp2_session* native, const nghttp2_frame* frame, void* user)
{
    auto& target = self(user);
    const auto stream_id = frame->hd.stream_id;
    if (target.role == session_role::server && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
    {
        const auto opened = target.final_goaway_submitted ? nullptr : target.accept_stream();
        if (!opened)
        {
            ++target.counter_totals->refused;
            nghttp2_submit_rst_stream(native, NGHTTP2_FLAG_NONE, stream_id, NGHTTP2_REFUSED_STREAM);
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        opened->id = stream_id;
        target.add_stream(opened);
        return 0;
    }
    if (const auto found = target.find(stream_id))
    {
        found->block = {};
    }
    return 0;
}

int session_callbacks::on_header(nghttp2_session* native, const nghttp2_frame* frame, const std::uint8_t* name,
                                 std::size_t name_length, const std::uint8_t* value, std::size_t value_length,
                                 std::uint8_t /*flags*/, void* user)
{
    auto& target = self(user);
    const auto found = target.find(frame->hd.stream_id);
    if (!found ||
        found->block.add(to_text(name, name_length), to_text(value, value_length), target.limits.header_bytes))
    {
        return 0;
    }
    // A call does not run before its whole header section is accepted, so REFUSED_STREAM is a valid proof.
    const bool is_request = frame->headers.cat == NGHTTP2_HCAT_REQUEST;
    target.counter_totals->refused += is_request ? 1 : 0;
    nghttp2_submit_rst_stream(native, NGHTTP2_FLAG_NONE, frame->hd.stream_id,
                              is_request ? NGHTTP2_REFUSED_STREAM : NGHTTP2_ENHANCE_YOUR_CALM);
    target.complete(frame->hd.stream_id, errc::protocol_error, proof::none);
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
}

int session_callbacks::on_invalid_header(nghttp2_session* native, const nghttp2_frame* frame,
                                         const std::uint8_t* /*name*/, std::size_t /*name_length*/,
                                         const std::uint8_t* /*value*/, std::size_t /*value_length*/,
                                         std::uint8_t /*flags*/, void* user)
{
    // By default nghttp2 ignores such a field and continues; a malformed message must not be processed.
    nghttp2_submit_rst_stream(native, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_PROTOCOL_ERROR);
    self(user).complete(frame->hd.stream_id, errc::protocol_error, proof::none);
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
}

int session_callbacks::receive_headers(session& target, const nghttp2_frame& frame)
{
    const auto found = target.find(frame.hd.stream_id);
    if (!found)
    {
        return 0;
    }
    const bool has_body = !ends_stream(frame);
    const auto block = std::exchange(found->block, {});
    if (!found->receive_header(block, has_body))
    {
        nghttp2_submit_rst_stream(target.native.get(), NGHTTP2_FLAG_NONE, frame.hd.stream_id, NGHTTP2_PROTOCOL_ERROR);
        target.complete(frame.hd.stream_id, errc::protocol_error, proof::none);
        return 0;
    }
    // The callback may have ended the stream or the session.
    if (!has_body && target.find(frame.hd.stream_id) == found)
    {
        found->receive_input_end();
    }
    return 0;
}

int session_callbacks::on_frame(nghttp2_session* /*native*/, const nghttp2_frame* frame, void* user)
{
    auto& target = self(user);
    switch (frame->hd.type)
    {
    case NGHTTP2_HEADERS:
        receive_headers(target, *frame);
        break;
    case NGHTTP2_DATA:
        if (const auto found = target.find(frame->hd.stream_id); found && ends_stream(*frame))
        {
            found->receive_input_end();
        }
        break;
    case NGHTTP2_RST_STREAM:
        if (const auto found = target.find(frame->hd.stream_id))
        {
            found->reset_code = frame->rst_stream.error_code;
        }
        break;
    case NGHTTP2_GOAWAY:
        target.goaway_received = true;
        target.goaway_last_stream = frame->goaway.last_stream_id;
        break;
    case NGHTTP2_PING:
        if ((frame->hd.flags & NGHTTP2_FLAG_ACK) != 0)
        {
            std::uint64_t number = 0;
            std::memcpy(&number, frame->ping.opaque_data, sizeof number);
            target.handle_ping_ack(number);
        }
        break;
    default:
        break;
    }
    return target.ended ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

int session_callbacks::on_data(nghttp2_session* /*native*/, std::uint8_t /*flags*/, std::int32_t stream_id,
                               const std::uint8_t* bytes, std::size_t length, void* user)
{
    auto& target = self(user);
    if (const auto found = target.find(stream_id))
    {
        found->receive_input(to_text(bytes, length));
    }
    else
    {
        target.consume(stream_id, length);
    }
    return target.ended ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
}

int session_callbacks::on_stream_close(nghttp2_session* /*native*/, std::int32_t stream_id, std::uint32_t code,
                                       void* user)
{
    auto& target = self(user);
    const auto found = target.find(stream_id);
    if (!found)
    {
        return 0;
    }
    auto not_run = target.proof_of(*found);
    if (not_run == proof::none && target.role == session_role::client && !found->header_received &&
        found->reset_code == std::uint32_t{NGHTTP2_REFUSED_STREAM})
    {
        not_run = proof::refused_stream;
        ++target.counter_totals->refused;
    }
    std::error_code error = errc::protocol_error;
    if (not_run == proof::goaway_below || not_run == proof::not_sent)
    {
        error = errc::going_away;
    }
    else if (not_run == proof::refused_stream)
    {
        error = errc::stream_refused;
    }
    else if (found->reset_code || code == NGHTTP2_NO_ERROR)
    {
        error = target.role == session_role::server ? errc::call_cancelled : errc::stream_reset;
    }
    target.complete(stream_id, error, not_run);
    return 0;
}

int session_callbacks::before_frame_send(nghttp2_session* /*native*/, const nghttp2_frame* frame, void* user)
{
    auto& target = self(user);
    if (frame->hd.type != NGHTTP2_HEADERS || target.role != session_role::client)
    {
        return 0;
    }
    if (const auto found = target.find(frame->hd.stream_id); found && !found->packed)
    {
        found->packed = true;
        found->first_byte_offset = target.frame_offset;
    }
    return 0;
}

int session_callbacks::on_frame_sent(nghttp2_session* native, const nghttp2_frame* frame, void* user)
{
    auto& target = self(user);
    const bool can_end = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (!can_end || !ends_stream(*frame))
    {
        return 0;
    }
    const auto found = target.find(frame->hd.stream_id);
    if (!found)
    {
        return 0;
    }
    found->end_sent = true;
    if (target.role == session_role::server && !found->input_ended)
    {
        // The response is complete and the rest of the request is not needed (RFC 9113, section 8.1).
        nghttp2_submit_rst_stream(native, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_NO_ERROR);
    }
    return 0;
}

int session_callbacks::on_frame_not_sent(nghttp2_session* /*native*/, const nghttp2_frame* frame, int /*code*/,
                                         void* user)
{
    auto& target = self(user);
    if (frame->hd.type == NGHTTP2_HEADERS && target.role == session_role::client)
    {
        target.complete(frame->hd.stream_id, errc::going_away, proof::not_sent);
    }
    return 0;
}

ssize_t session_callbacks::read_body(nghttp2_session* /*native*/, std::int32_t stream_id, std::uint8_t* buffer,
                                     std::size_t length, std::uint32_t* flags, nghttp2_data_source* /*source*/,
                                     void* user)
{
    auto& target = self(user);
    const auto found = target.find(stream_id);
    if (!found)
    {
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    if (found->queued_bytes() == 0 && !found->output_ended)
    {
        found->output_deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    const auto count = found->pull_output(buffer, length);
    if (found->has_large_output)
    {
        target.expect_delivery(count);
    }
    if (found->queued_bytes() > 0)
    {
        return static_cast<ssize_t>(count);
    }
    if (found->output_ended)
    {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    else
    {
        target.drained_streams.push_back(found);
    }
    return static_cast<ssize_t>(count);
}

} // namespace poplarport::peer::detail
