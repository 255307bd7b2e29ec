#pragma once

#include <chrono>        // seconds
#include <cstddef>       // size_t
#include <memory>        // shared_ptr
#include <optional>      // optional
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/http/client_connection.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::http
{

/// @brief Keep-alive connections to one address, never more than a limit.
///
/// A connection is not used again when the other side may have ended it meanwhile: after the time that its Keep-Alive
/// states, and after a time that the pool learns from connections that were dropped when they were used again.
class client_pool
{
  public:
    /// @brief Limits of a pool.
    struct limits
    {
        std::size_t connections{256};                            ///< open connections, in use and idle
        core::duration connect_timeout{std::chrono::seconds{1}}; ///< for the set-up of a connection
        core::duration idle_timeout{std::chrono::seconds{15}};   ///< an older idle connection is not used again
    };

    /// @param[in] loop    loop of the connections
    /// @param[in] address IP number and port of the server
    /// @param[in] values  limits of the pool
    client_pool(net::event_loop& loop, core::socket_address address, const limits& values);

    /// @brief Takes an idle connection, or starts a new one.
    /// @return nullptr when the limit is reached
    [[nodiscard]] std::shared_ptr<client_connection> acquire();

    /// @brief Gives a connection back; one that cannot be used again is dropped.
    void release(const std::shared_ptr<client_connection>& connection);

    /// @brief Changes the limit; connections in use above it are kept until they are released.
    void set_connection_limit(std::size_t connections) noexcept;

    /// @return connections in use and idle
    [[nodiscard]] std::size_t size() const noexcept;

  private:
    struct idle_connection
    {
        std::shared_ptr<client_connection> connection;
        core::time_point since;
    };

    [[nodiscard]] bool is_outdated(const idle_connection& entry, core::time_point now) const;
    void learn(const client_connection& connection, core::time_point now);

    struct reuse
    {
        core::time_point at;
        core::duration rested{0};
    };

    net::event_loop* loop;
    core::socket_address target;
    limits chosen;
    std::vector<idle_connection> idle{};
    std::unordered_map<const client_connection*, reuse> reused{}; ///< connections in use that had been idle
    std::optional<core::duration> learned_limit{};
    core::time_point learned_until{};
    std::size_t in_use{0};
};

} // namespace poplarport::http
