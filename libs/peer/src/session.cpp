#include "poplarport/peer/detail/session.hpp"

#include <algorithm> // max, min
#include <array>     // array
#include <chrono>    // duration_cast, milliseconds, seconds
#include <cstring>   // memcpy
#include <string>    // string
#include <utility>   // exchange, move

#include "poplarport/net/errors.hpp"
#include "poplarport/peer/detail/session_callbacks.hpp"
#include "poplarport/peer/errors.hpp"

namespace poplarport::peer::detail
{

namespace
{

// The windows limit the memory of the receiver and what waits on its link: a body of 60 KB takes 48 ms on a link of 10
// Mbit/s, and calls with short time limits would wait for several of them.
constexpr std::uint32_t stream_window_bytes = 16384;
constexpr std::int32_t session_window_bytes = 1 << 20;

// No output is pulled from nghttp2 while the socket has more pending bytes, so that small calls do not wait behind a
// long buffer.
constexpr std::size_t max_pending_output_bytes = 65536;

// Hedging and expired deadlines cancel streams in normal operation; nghttp2's default allows only 33 per second.
constexpr std::uint64_t reset_burst = 2000;
constexpr std::uint64_t resets_per_second = 500;

// A timer that runs later than this shows that the local process was paused, so missing bytes do not prove that the
// other side is silent.
constexpr std::chrono::milliseconds local_pause{100};

// Time for the other side to close after the last response; closing at once could discard bytes that it has not read.
constexpr std::chrono::seconds linger_time{1};

// A PING waits behind the bytes that were sent before it. This is the lowest speed at which a working connection is
// expected to deliver large bodies, so that they do not make a narrow link appear silent. Other bytes do not count: a
// busy connection that becomes silent would be noticed seconds later.
constexpr std::int64_t min_bytes_per_second = 32'768;
constexpr std::chrono::seconds max_transfer_time{3};

constexpr std::int64_t round_trip_divisor = 8;

struct option_deleter
{
    void operator()(nghttp2_option* target) const noexcept
    {
        nghttp2_option_del(target);
    }
};

std::unique_ptr<nghttp2_option, option_deleter> make_options()
{
    nghttp2_option* created = nullptr;
    if (nghttp2_option_new(&created) != 0)
    {
        throw std::bad_alloc{};
    }
    std::unique_ptr<nghttp2_option, option_deleter> options{created};
    nghttp2_option_set_no_auto_window_update(created, 1);
    nghttp2_option_set_no_closed_streams(created, 1);
    nghttp2_option_set_stream_reset_rate_limit(created, reset_burst, resets_per_second);
    return options;
}

} // namespace

void session::native_deleter::operator()(nghttp2_session* target) const noexcept
{
    nghttp2_session_del(target);
}

session::session(net::event_loop& session_loop, session_role local_role, const session_limits& configured_limits,
                 std::shared_ptr<counters> totals)
    : loop(&session_loop), role(local_role), limits(configured_limits), counter_totals(std::move(totals)),
      liveness(session_loop, [this] { this->check_liveness(); }), drain_timer(session_loop,
                                                                              [this]
                                                                              {
                                                                                  if (this->finishing)
                                                                                  {
                                                                                      this->close(errc::going_away);
                                                                                      return;
                                                                                  }
                                                                                  this->submit_final_goaway();
                                                                              })
{
    const auto options = make_options();
    nghttp2_session* created = nullptr;
    const auto* const table = session_callbacks::table();
    const int result = local_role == session_role::server
                           ? nghttp2_session_server_new2(&created, table, this, options.get())
                           : nghttp2_session_client_new2(&created, table, this, options.get());
    if (result != 0)
    {
        throw std::bad_alloc{};
    }
    this->native.reset(created);
    const std::array<nghttp2_settings_entry, 4> entries{{
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, configured_limits.streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, stream_window_bytes},
        {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, static_cast<std::uint32_t>(configured_limits.header_bytes)},
    }};
    nghttp2_submit_settings(created, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(created, NGHTTP2_FLAG_NONE, 0, session_window_bytes);
}

session::~session() = default;

void session::start(std::unique_ptr<net::stream_socket> connection_socket)
{
    this->socket = std::move(connection_socket);
    this->socket->set_hooks({.on_connected = [this] { this->handle_connect_finished(); },
                             .on_bytes = [this](std::string_view bytes) { this->receive(bytes); },
                             .on_drained = [this] { this->pump(); },
                             .on_closed =
                                 [this](std::error_code reason)
                             {
                                 this->close(reason);
                             }});
    if (this->role == session_role::server)
    {
        this->handle_connect_finished();
    }
}

void session::handle_connect_finished()
{
    const auto keep_alive = this->shared_from_this();
    this->connected = true;
    this->last_byte_at = this->loop->now();
    this->expecting_since = this->last_byte_at;
    ++this->counter_totals->sessions;
    this->handle_connected();
    this->pump();
    this->arm_liveness();
}

void session::close(std::error_code reason)
{
    if (this->ended)
    {
        return;
    }
    const auto keep_alive = this->shared_from_this();
    this->ended = true;
    this->liveness.cancel();
    this->drain_timer.cancel();
    // Bytes that the kernel has not accepted are discarded here; the proof not_sent depends on it.
    this->socket->close();
    for (const auto& [stream_id, target] : std::exchange(this->streams, {}))
    {
        this->completions.push_back({target, reason, this->proof_of(*target)});
    }
    this->run_completions();
    this->handle_closed(reason);
}

void session::request_pump()
{
    if (this->ended || this->pump_posted || this->receiving || this->pumping)
    {
        return;
    }
    this->pump_posted = true;
    this->loop->post(
        [weak = this->weak_from_this()]
        {
            if (const auto target = weak.lock())
            {
                target->pump_posted = false;
                target->pump();
            }
        });
}

void session::pump()
{
    if (this->ended || this->pumping || this->receiving || !this->connected)
    {
        return;
    }
    const auto keep_alive = this->shared_from_this();
    bool has_more_output = true;
    while (has_more_output && !this->ended && this->socket->pending_bytes() < max_pending_output_bytes)
    {
        this->pumping = true;
        has_more_output = this->pull_output();
        for (const auto& target : std::exchange(this->drained_streams, {}))
        {
            target->output_drained();
        }
        this->run_completions();
        this->pumping = false;
    }
    this->finish_if_done();
}

bool session::pull_output()
{
    // No hook runs while the buffer is filled, so all sessions of the thread can share one.
    static thread_local std::string batch;
    batch.clear();
    while (batch.size() < max_pending_output_bytes)
    {
        this->frame_offset = this->bytes_passed_to_socket + batch.size();
        const std::uint8_t* bytes = nullptr;
        const auto count = nghttp2_session_mem_send(this->native.get(), &bytes);
        if (count < 0)
        {
            this->close(errc::protocol_error);
            return false;
        }
        if (count == 0)
        {
            break;
        }
        batch.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(count));
    }
    if (batch.empty())
    {
        return false;
    }
    this->bytes_passed_to_socket += batch.size();
    this->counter_totals->bytes_out += batch.size();
    this->socket->send(batch);
    return true;
}

void session::run_completions()
{
    for (const auto& ended_stream : std::exchange(this->completions, {}))
    {
        ended_stream.target->closed(ended_stream.error, ended_stream.not_run);
    }
}

void session::receive(std::string_view bytes)
{
    if (this->ended || this->finishing)
    {
        return;
    }
    const auto keep_alive = this->shared_from_this();
    this->counter_totals->bytes_in += bytes.size();
    this->last_byte_at = this->loop->now();
    if (!std::exchange(this->received_any_byte, true))
    {
        this->handle_first_bytes();
    }
    this->receiving = true;
    const auto consumed =
        nghttp2_session_mem_recv(this->native.get(), reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    this->receiving = false;
    if (this->ended)
    {
        return;
    }
    this->run_completions();
    this->pump();
    if (consumed < 0)
    {
        this->close(errc::protocol_error);
    }
}

void session::finish_if_done()
{
    if (this->ended || this->finishing || (this->draining && !this->final_goaway_submitted) ||
        nghttp2_session_want_read(this->native.get()) != 0 || nghttp2_session_want_write(this->native.get()) != 0 ||
        this->socket->pending_bytes() > 0)
    {
        return;
    }
    if (!this->streams.empty())
    {
        this->close(errc::protocol_error);
        return;
    }
    if (this->role == session_role::client)
    {
        this->close(errc::going_away);
        return;
    }
    this->finishing = true;
    this->liveness.cancel();
    this->socket->finish_output();
    this->drain_timer.schedule(linger_time);
}

void session::drain(core::duration step)
{
    if (this->ended || this->draining)
    {
        return;
    }
    this->draining = true;
    nghttp2_submit_shutdown_notice(this->native.get());
    this->send_ping();
    this->drain_ping = this->ping_number;
    this->drain_timer.schedule(step);
    this->request_pump();
}

void session::submit_final_goaway()
{
    if (this->ended || this->final_goaway_submitted)
    {
        return;
    }
    // Streams that arrive later are refused, because the frame contains the id of the last one processed.
    this->final_goaway_submitted = true;
    nghttp2_submit_goaway(this->native.get(), NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(this->native.get()), NGHTTP2_NO_ERROR, nullptr, 0);
    this->drain_timer.cancel();
    this->request_pump();
}

void session::send_ping()
{
    ++this->ping_number;
    ++this->counter_totals->pings;
    this->ping_outstanding = true;
    this->ping_sent_at = this->loop->now();
    std::array<std::uint8_t, sizeof(std::uint64_t)> data{};
    std::memcpy(data.data(), &this->ping_number, data.size());
    nghttp2_submit_ping(this->native.get(), NGHTTP2_FLAG_NONE, data.data());
    this->request_pump();
}

void session::handle_ping_ack(std::uint64_t number)
{
    if (number == this->ping_number && this->ping_outstanding)
    {
        this->ping_outstanding = false;
        const auto sample =
            std::chrono::duration_cast<std::chrono::microseconds>(this->loop->now() - this->ping_sent_at);
        auto& average = this->counter_totals->round_trip;
        average = average.count() == 0 ? sample : average + (sample - average) / round_trip_divisor;
    }
    if (this->draining && number >= this->drain_ping)
    {
        this->submit_final_goaway();
    }
}

bool session::awaits_ping() const noexcept
{
    // Any byte received after the PING shows that the connection works.
    return this->ping_outstanding && this->last_byte_at < this->ping_sent_at;
}

void session::expect_delivery(std::size_t bytes) noexcept
{
    const auto now = this->loop->now();
    const auto transfer_time =
        core::duration{std::chrono::seconds{1}} * static_cast<std::int64_t>(bytes) / min_bytes_per_second;
    this->delivered_by =
        std::min<core::time_point>(std::max(this->delivered_by, now) + transfer_time, now + max_transfer_time);
}

core::time_point session::liveness_deadline() const noexcept
{
    if (this->awaits_ping())
    {
        return std::max(this->ping_sent_at, this->delivered_by) + this->limits.silent_after;
    }
    if (this->role == session_role::client && !this->streams.empty())
    {
        return std::max(this->last_byte_at, this->expecting_since) + this->limits.check_after;
    }
    return this->last_byte_at + this->limits.idle_check_after;
}

void session::check_liveness()
{
    const auto overdue_by = this->loop->now() - this->liveness_deadline();
    if (this->ended || overdue_by < core::duration{0})
    {
        this->arm_liveness();
        return;
    }
    if (this->awaits_ping() && overdue_by < local_pause)
    {
        if (!this->socket->has_unread_input())
        {
            ++this->counter_totals->silent;
            this->close(errc::connection_silent);
            return;
        }
        // The kernel has buffered bytes; they are read in this iteration of the event loop or the next one.
        this->liveness.schedule(std::chrono::milliseconds{1});
        return;
    }
    this->send_ping();
    this->arm_liveness();
}

void session::arm_liveness()
{
    if (this->ended || !this->connected || this->finishing)
    {
        return;
    }
    this->liveness.schedule(this->liveness_deadline() - this->loop->now());
}

bool session::is_usable() const noexcept
{
    return !this->ended && !this->finishing && !this->goaway_received;
}

bool session::is_connected() const noexcept
{
    return this->connected && !this->ended;
}

std::size_t session::stream_count() const noexcept
{
    return this->streams.size();
}

net::event_loop& session::event_loop() const noexcept
{
    return *this->loop;
}

core::socket_address session::remote_address() const
{
    return this->socket->remote_address();
}

session_clock& session::clock() noexcept
{
    return this->clock_estimator;
}

counters& session::totals() noexcept
{
    return *this->counter_totals;
}

} // namespace poplarport::peer::detail
