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

/// @brief Forwards bytes from one socket to the other, with the faults of the forwarder.
///
/// Reading is paused while the buffered bytes reach a limit, so that TCP flow control slows the sender.
class forwarder_pipe
{
  public:
    /// @param[in] loop   event loop of the sockets
    /// @param[in] on_end called when the input has ended and all its bytes have been sent
    forwarder_pipe(net::event_loop& loop, std::function<void()> on_end);

    void connect(net::stream_socket& source, net::stream_socket& destination);
    void set_faults(const forwarder_faults& new_faults);
    void set_silent(bool enabled);
    [[nodiscard]] bool is_silent() const noexcept;
    void append(std::string_view bytes);

    /// @brief Marks the input as ended; `on_end` follows when all buffered bytes have been sent.
    void finish_input();

    /// @brief Sends the bytes that are due and updates the reading; must also be called when the output has drained.
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
    net::stream_socket* input_socket{nullptr};
    net::stream_socket* output_socket{nullptr};
    forwarder_faults faults{};
    bool silent{false};
    bool input_finished{false};
    bool reading_enabled{true};
    std::deque<piece> pieces{};
    std::size_t buffered_bytes{0};
    core::time_point next_send_time{};
    std::uint64_t sent_bytes{0};
    net::timer timer;
};

/// @brief A caller's connection and its connection to the target.
class forwarder_link : public std::enable_shared_from_this<forwarder_link>
{
  public:
    using end_callback = std::function<void(const std::shared_ptr<forwarder_link>&)>;

    /// @param[in] loop          event loop of the sockets
    /// @param[in] caller_socket the caller's connection
    /// @param[in] on_end        called once when both connections have ended
    forwarder_link(net::event_loop& loop, std::unique_ptr<net::stream_socket> caller_socket, end_callback on_end);

    /// @brief Starts to connect to the target.
    void start(const core::socket_address& target, const forwarder_faults& faults);

    void set_faults(const forwarder_faults& new_faults);
    void silence(forward_direction directions);

    /// @brief Resets both connections.
    void reset_connections();

    [[nodiscard]] bool is_silent() const noexcept;
    [[nodiscard]] std::uint64_t bytes_to_target() const noexcept;
    [[nodiscard]] std::uint64_t bytes_to_caller() const noexcept;

  private:
    /// @brief One of the two connections of the link.
    struct connection
    {
        std::unique_ptr<net::stream_socket> socket{};
        bool closed{false};
        bool was_reset{false};
    };

    [[nodiscard]] net::stream_socket::hooks make_hooks(connection& input, forwarder_pipe& output,
                                                       forwarder_pipe& opposite);
    void forward_end(const connection& source, connection& destination);
    void finish_if_closed();

    net::event_loop* loop;
    connection caller_connection{};
    connection target_connection{};
    end_callback end_hook;
    forwarder_pipe to_target;
    forwarder_pipe to_caller;
};

} // namespace poplarport::standins
