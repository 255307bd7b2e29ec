#include "poplarport/peer/detail/session.hpp"

#include <utility> // move

#include "poplarport/peer/detail/session_callbacks.hpp"

namespace poplarport::peer::detail
{

bool session::submit_request(const std::shared_ptr<stream>& target, const std::vector<http::header_field>& fields,
                             bool has_body)
{
    const auto native_fields = to_native(fields);
    const auto provider = session_callbacks::body_provider();
    const auto stream_id = nghttp2_submit_request(this->native.get(), nullptr, native_fields.data(),
                                                  native_fields.size(), has_body ? &provider : nullptr, nullptr);
    if (stream_id < 0)
    {
        return false;
    }
    target->id = stream_id;
    this->add_stream(target);
    this->request_pump();
    return true;
}

void session::submit_response(const stream& target, const std::vector<http::header_field>& fields)
{
    const auto native_fields = to_native(fields);
    const auto provider = session_callbacks::body_provider();
    nghttp2_submit_response(this->native.get(), target.id, native_fields.data(), native_fields.size(), &provider);
    this->request_pump();
}

bool session::has_frame_backlog() const
{
    constexpr std::size_t max_queued_frames = 256;
    return nghttp2_session_get_outbound_queue_size(this->native.get()) > max_queued_frames;
}

void session::submit_interim(const stream& target, const std::vector<http::header_field>& fields)
{
    const auto native_fields = to_native(fields);
    nghttp2_submit_headers(this->native.get(), NGHTTP2_FLAG_NONE, target.id, nullptr, native_fields.data(),
                           native_fields.size(), nullptr);
    this->request_pump();
}

void session::resume_output(stream& target)
{
    if (!this->ended && target.output_deferred)
    {
        target.output_deferred = false;
        nghttp2_session_resume_data(this->native.get(), target.id);
        this->request_pump();
    }
}

void session::reset_stream(stream& target, std::uint32_t code)
{
    if (this->ended || this->streams.erase(target.id) == 0)
    {
        return;
    }
    target.discard_input();
    nghttp2_submit_rst_stream(this->native.get(), NGHTTP2_FLAG_NONE, target.id, code);
    this->request_pump();
}

void session::consume(std::int32_t stream_id, std::size_t bytes)
{
    if (!this->ended)
    {
        nghttp2_session_consume(this->native.get(), stream_id, bytes);
        this->request_pump();
    }
}

void session::add_stream(const std::shared_ptr<stream>& target)
{
    const bool was_idle = this->streams.empty();
    this->streams.emplace(target->id, target);
    ++this->counter_totals->streams;
    if (was_idle && this->role == session_role::client)
    {
        this->expecting_since = this->loop->now();
        this->arm_liveness();
    }
}

std::shared_ptr<stream> session::find(std::int32_t stream_id) const
{
    const auto position = this->streams.find(stream_id);
    return position == this->streams.end() ? nullptr : position->second;
}

void session::complete(std::int32_t stream_id, std::error_code error, proof not_run)
{
    const auto position = this->streams.find(stream_id);
    if (position == this->streams.end())
    {
        return;
    }
    this->completions.push_back({position->second, error, not_run});
    this->streams.erase(position);
}

proof session::proof_of(const stream& target) const noexcept
{
    if (this->role == session_role::server)
    {
        return proof::none;
    }
    if (!target.packed || this->socket->sent_bytes() <= target.first_byte_offset)
    {
        return proof::not_sent;
    }
    return this->goaway_received && target.id > this->goaway_last_stream ? proof::goaway_below : proof::none;
}

} // namespace poplarport::peer::detail
