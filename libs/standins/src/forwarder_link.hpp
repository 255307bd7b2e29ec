#pragma once

#include <cstdint>    // uint64_t
#include <deque>      // deque
#include <functional> // function
#include <memory>     // enable_shared_from_this, unique_ptr
#include <string>     // string

#include "poplarport/net/stream_socket.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/standins/forwarder/forwarder.hpp"

namespace poplarport::standins
{

/// @brief Bytes that wait on their way from one socket to the other.
///
/// Reading stops while more than a bounded number of bytes waits, so that TCP holds the sender back.
class forwarder_pipe
{
  public:
    /// @param[in] loop   loop of the sockets
    /// @param[in] on_end called when the input has ended and all its bytes were sent
    forwarder_pipe(net::event_loop& loop, std::function<void()> on_end);

    void connect(net::stream_socket& input, net::stream_socket& destination);
    void set_faults(const forwarder_faults& values);
    void set_silent(bool enabled);
    [[nodiscard]] bool is_silent() const noexcept;
    void accept(std::string_view bytes);

    /// @brief Notes that no further bytes arrive.
    void finish();

    /// @brief Sends what is due; called also when the destination's output is empty.
    void pump();

    [[nodiscard]] std::uint64_t forwarded_bytes() const noexcept;

  private:
    struct piece
    {
        core::time_point due;
        std::string bytes;
    };

    void send_piece(core::time_point now);
    void update_reading();

    net::event_loop* loop;
    std::function<void()> end_hook;
    net::stream_socket* from{nullptr};
    net::stream_socket* to{nullptr};
    forwarder_faults faults{};
    bool silent{false};
    bool finished{false};
    bool reading{true};
    std::deque<piece> waiting{};
    std::size_t waiting_bytes{0};
    core::time_point next_send{};
    std::uint64_t forwarded{0};
    net::timer timer;
};

/// @brief A caller's connection and the one to the target.
class forwarder_link : public std::enable_shared_from_this<forwarder_link>
{
  public:
    using done_hook = std::function<void(const std::shared_ptr<forwarder_link>&)>;

    /// @param[in] loop     loop of the sockets
    /// @param[in] accepted the caller's connection
    /// @param[in] on_done  called once when both connections have ended
    forwarder_link(net::event_loop& loop, std::unique_ptr<net::stream_socket> accepted, done_hook on_done);

    /// @brief Starts to connect to the target.
    void start(const core::socket_address& target, const forwarder_faults& faults);

    void set_faults(const forwarder_faults& values);
    void silence(forward_direction directions);

    /// @brief Resets both connections.
    void cut();

    [[nodiscard]] bool is_silent() const noexcept;
    [[nodiscard]] std::uint64_t bytes_to_target() const noexcept;
    [[nodiscard]] std::uint64_t bytes_to_caller() const noexcept;

  private:
    /// @brief One of the two connections.
    struct side
    {
        std::unique_ptr<net::stream_socket> socket{};
        bool closed{false};
        bool was_reset{false};
    };

    [[nodiscard]] net::stream_socket::hooks make_hooks(side& input, forwarder_pipe& output, forwarder_pipe& opposite);
    void pass_on_end(const side& ended, side& other);
    void end_if_done();

    net::event_loop* loop;
    side caller{};
    side upstream{};
    done_hook done;
    forwarder_pipe to_target;
    forwarder_pipe to_caller;
};

} // namespace poplarport::standins
