#pragma once

#include <cstddef>       // size_t
#include <cstdint>       // int32_t, uint32_t, uint64_t
#include <functional>    // function
#include <memory>        // enable_shared_from_this, shared_ptr, unique_ptr
#include <string_view>   // string_view
#include <system_error>  // error_code
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include <nghttp2/nghttp2.h>

#include "poplarport/core/time.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/stream_socket.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/peer/counters.hpp"
#include "poplarport/peer/detail/stream.hpp"
#include "poplarport/peer/session_clock.hpp"

namespace poplarport::peer::detail
{

/// @brief Role of the local side of a connection.
enum class session_role
{
    server,
    client
};

/// @brief Limits of a session.
struct session_limits
{
    std::size_t header_bytes;
    std::uint32_t streams; ///< maximum number of concurrent streams that the other side may open
    core::duration check_after;
    core::duration silent_after;
    core::duration idle_check_after;
};

/// @brief One HTTP/2 connection: an nghttp2 session over a socket, its streams and its liveness check.
///
/// Callbacks of streams run while bytes are received or after output was pulled, never inside nghttp2's output
/// function.
class session : public std::enable_shared_from_this<session>
{
  public:
    session(net::event_loop& session_loop, session_role local_role, const session_limits& configured_limits,
            std::shared_ptr<counters> totals);
    virtual ~session();
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    /// @brief Takes ownership of the socket, sets its callbacks and submits the HTTP/2 SETTINGS.
    /// @param[in] connection_socket connected or connecting socket
    void start(std::unique_ptr<net::stream_socket> connection_socket);

    /// @brief Closes the connection at once and notifies every stream.
    void close(std::error_code reason);

    /// @brief Schedules pulling output from nghttp2 in a later iteration of the event loop, so that the frames of one
    /// iteration share a system call.
    void request_pump();

    /// @brief Opens a stream for a request.
    /// @return false when nghttp2 refuses the request
    [[nodiscard]] bool submit_request(const std::shared_ptr<stream>& target,
                                      const std::vector<http::header_field>& fields, bool has_body);

    /// @brief Submits the header section of a response; the body follows from the stream's output buffer.
    void submit_response(const stream& target, const std::vector<http::header_field>& fields);

    /// @return whether more frames wait for the other node to read than optional ones may add to
    [[nodiscard]] bool has_frame_backlog() const;

    /// @brief Submits the header section of an interim (1xx) response.
    void submit_interim(const stream& target, const std::vector<http::header_field>& fields);

    /// @brief Resumes sending of the stream's output after it was deferred.
    void resume_output(stream& target);

    /// @brief Resets a stream and removes it from the session without notifying it.
    /// @param[in] code HTTP/2 error code
    void reset_stream(stream& target, std::uint32_t code);

    /// @brief Returns flow-control window for bytes that were delivered or discarded.
    void consume(std::int32_t stream_id, std::size_t bytes);

    /// @brief Starts a graceful shutdown by a two-step GOAWAY.
    /// @param[in] step maximum wait for the round trip between the two frames
    void drain(core::duration step);

    /// @return whether new calls can be started on the session from the local side
    [[nodiscard]] bool is_usable() const noexcept;

    [[nodiscard]] bool is_connected() const noexcept;
    [[nodiscard]] std::size_t stream_count() const noexcept;
    [[nodiscard]] net::event_loop& event_loop() const noexcept;
    [[nodiscard]] core::socket_address remote_address() const;
    [[nodiscard]] session_clock& clock() noexcept;
    [[nodiscard]] counters& totals() noexcept;

  protected:
    friend struct session_callbacks;

    /// @brief Called when the other side opens a stream.
    /// @return the stream, or nullptr to refuse it
    [[nodiscard]] virtual std::shared_ptr<stream> accept_stream() = 0;
    virtual void handle_connected() = 0;
    virtual void handle_first_bytes() = 0;

    /// @brief Called once when the connection has ended, after its streams were notified.
    virtual void handle_closed(std::error_code reason) = 0;

  private:
    struct completion
    {
        std::shared_ptr<stream> target;
        std::error_code error;
        proof not_run;
    };

    struct native_deleter
    {
        void operator()(nghttp2_session* target) const noexcept;
    };

    void handle_connect_finished();
    void pump();
    [[nodiscard]] bool pull_output();
    void run_completions();
    void receive(std::string_view bytes);
    void finish_if_done();
    void send_ping();
    void handle_ping_ack(std::uint64_t number);
    void submit_final_goaway();
    void check_liveness();
    void arm_liveness();
    void expect_delivery(std::size_t bytes) noexcept;
    [[nodiscard]] core::time_point liveness_deadline() const noexcept;
    [[nodiscard]] bool awaits_ping() const noexcept;
    void add_stream(const std::shared_ptr<stream>& target);
    [[nodiscard]] std::shared_ptr<stream> find(std::int32_t stream_id) const;
    void complete(std::int32_t stream_id, std::error_code error, proof not_run);
    [[nodiscard]] proof proof_of(const stream& target) const noexcept;

    net::event_loop* loop;
    session_role role;
    session_limits limits;
    std::shared_ptr<counters> counter_totals;
    std::unique_ptr<net::stream_socket> socket{};
    std::unique_ptr<nghttp2_session, native_deleter> native{};
    std::unordered_map<std::int32_t, std::shared_ptr<stream>> streams{};
    std::vector<completion> completions{};
    std::vector<std::shared_ptr<stream>> drained_streams{};
    session_clock clock_estimator{};
    net::timer liveness;
    net::timer drain_timer;
    bool connected{false};
    bool received_any_byte{false};
    bool ended{false};
    bool receiving{false};
    bool pumping{false};
    bool pump_posted{false};
    bool finishing{false};
    bool goaway_received{false};
    std::int32_t goaway_last_stream{0};
    bool draining{false};
    bool final_goaway_submitted{false};
    std::uint64_t drain_ping{0};
    std::size_t bytes_passed_to_socket{0}; ///< bytes passed to the socket
    std::size_t frame_offset{0};           ///< bytes of output before the frame that nghttp2 is packing
    std::uint64_t ping_number{0};
    bool ping_outstanding{false};
    core::time_point ping_sent_at{};
    core::time_point delivered_by{}; ///< when a slow connection that works has delivered the large bodies sent so far
    core::time_point last_byte_at{};
    core::time_point expecting_since{};
};

} // namespace poplarport::peer::detail
