#pragma once

#include <chrono>      // milliseconds
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <memory>      // unique_ptr
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

#include "poplarport/core/socket_address.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::standins
{

/// @brief Directions in which a connection carries bytes.
enum class forward_direction
{
    none,
    to_target, ///< from the caller to the target
    to_caller, ///< from the target to the caller
    both
};

/// @brief Behaviour of a forwarder that can be changed while it runs.
struct forwarder_faults
{
    std::chrono::milliseconds delay{0}; ///< added to all bytes, in each direction
    std::uint64_t bytes_per_second{0};  ///< limit of each connection in each direction, zero for none
    forward_direction new_connections{forward_direction::none}; ///< directions in which new connections are silent
    bool refuse_new{false};                                     ///< resets new connections
};

/// @brief Counts of a forwarder.
struct forwarder_counts
{
    std::uint64_t accepted{0};
    std::size_t open{0};
    std::size_t silent{0}; ///< open connections with a silent direction
    std::uint64_t bytes_to_target{0};
    std::uint64_t bytes_to_caller{0};
};

/// @brief Forwards TCP connections from one address to another and breaks them in ways that a network can.
///
/// A silent direction carries neither bytes nor the end of the connection, as behind a network that drops packets.
/// At the control address, `POST /faults` takes `delay_ms`, `bytes_per_second`, `new_connections` (none, to_target,
/// to_caller, both), `refuse_new`; `POST /silence` with `{"direction":D}` acts on the connections that are open now
/// (none ends the silence); `POST /cut` resets them; `GET /status` shows counts.
class forwarder
{
  public:
    /// @brief Addresses of a forwarder.
    struct settings
    {
        core::socket_address listen{"127.0.0.1", 0};
        core::socket_address target{};
        std::optional<core::socket_address> control{}; ///< no control address when empty
        forwarder_faults initial_faults{};
    };

    /// @param[in] loop   loop of the connections
    /// @param[in] values addresses and faults
    /// @throw std::system_error when an address cannot be listened on
    forwarder(net::event_loop& loop, const settings& values);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;

    /// @return the address with the port in use
    [[nodiscard]] core::socket_address address() const;

    /// @return the control address with the port in use, if there is one
    [[nodiscard]] std::optional<core::socket_address> control_address() const;

    /// @brief Changes the faults for all connections; `new_connections` and `refuse_new` for later ones only.
    void set_faults(const forwarder_faults& values);

    /// @brief Silences the connections that are open now.
    void silence(forward_direction directions);

    /// @brief Resets the connections that are open now.
    void cut();

    /// @return the counts
    [[nodiscard]] forwarder_counts counts() const;

    class state;

  private:
    std::unique_ptr<state> data;
};

/// @brief Applies a JSON object to the faults; keys that it does not name keep their values.
/// @throw std::invalid_argument with the key, the value found and the values allowed
[[nodiscard]] forwarder_faults merge_forwarder_faults(const forwarder_faults& current, std::string_view json);

} // namespace poplarport::standins
