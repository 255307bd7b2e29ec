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

/// @brief Set of directions of a forwarded connection.
enum class forward_direction
{
    none,
    to_target, ///< from the caller to the target
    to_caller, ///< from the target to the caller
    both
};

/// @brief Faults of a forwarder, changeable at run time.
struct forwarder_faults
{
    std::chrono::milliseconds delay{0};                         ///< added latency in each direction
    std::uint64_t bytes_per_second{0};                          ///< limit per connection and direction; zero for none
    forward_direction new_connections{forward_direction::none}; ///< directions in which new connections are silent
    bool refuse_new{false};                                     ///< resets new connections
};

/// @brief Connection and byte counts of a forwarder.
struct forwarder_counts
{
    std::uint64_t accepted{0};
    std::size_t open{0};
    std::size_t silent{0}; ///< open connections with a silent direction
    std::uint64_t bytes_to_target{0};
    std::uint64_t bytes_to_caller{0};
};

/// @brief Forwards TCP connections from one address to another and injects network faults.
///
/// A silent direction forwards neither bytes nor the end of the connection, like a network that drops all packets.
/// At the control address, `POST /faults` takes `delay_ms`, `bytes_per_second`, `new_connections` (none, to_target,
/// to_caller, both) and `refuse_new`; `POST /silence` with `{"direction":D}` silences the open connections (none ends
/// it); `POST /cut` resets them; `GET /status` returns the counts.
class forwarder
{
  public:
    /// @brief Addresses and initial faults of a forwarder.
    struct settings
    {
        core::socket_address listen{"127.0.0.1", 0};
        core::socket_address target{};
        std::optional<core::socket_address> control{}; ///< no control address if empty
        forwarder_faults initial_faults{};
    };

    /// @param[in] loop          event loop of the connections
    /// @param[in] configuration addresses and initial faults
    /// @throw std::system_error if an address cannot be listened on
    forwarder(net::event_loop& loop, const settings& configuration);
    ~forwarder();
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;

    /// @return the local address, with the port in use
    [[nodiscard]] core::socket_address address() const;

    /// @return the control address with the port in use; nothing if there is none
    [[nodiscard]] std::optional<core::socket_address> control_address() const;

    /// @brief Changes the faults of all connections; `new_connections` and `refuse_new` affect later ones only.
    void set_faults(const forwarder_faults& new_faults);

    /// @brief Silences the open connections in the given directions; none ends the silence.
    void silence(forward_direction directions);

    /// @brief Resets the open connections.
    void reset_connections();

    [[nodiscard]] forwarder_counts counts() const;

    class state;

  private:
    std::unique_ptr<state> data;
};

/// @brief Applies a JSON object to the faults; absent keys keep their values.
/// @return the new faults
/// @throw std::invalid_argument with the key, the value found and the allowed values
[[nodiscard]] forwarder_faults merge_forwarder_faults(const forwarder_faults& current, std::string_view json);

} // namespace poplarport::standins
