#pragma once

#include <chrono>        // seconds
#include <cstddef>       // size_t
#include <memory>        // shared_ptr
#include <optional>      // optional
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/http/client_connection.hpp"
#include "poplarport/net/event_loop.hpp"

namespace poplarport::http
{

/// @brief Pool of keep-alive connections to one address, with a limit on open connections.
///
/// An idle connection is not reused when the server may have closed it meanwhile: after the time stated in its
/// Keep-Alive field, and after a limit that the pool estimates from connections that were dropped on reuse.
class client_pool
{
  public:
    /// @brief Limits of a pool.
    struct limits
    {
        std::size_t connections{256};                            ///< open connections, in use and idle
        core::duration connect_timeout{std::chrono::seconds{1}}; ///< for establishing a connection
        core::duration idle_timeout{std::chrono::seconds{15}};   ///< connections idle for longer are not reused
    };

    /// @param[in] loop        event loop of the connections
    /// @param[in] address     IP address and port of the server
    /// @param[in] pool_limits limits of the pool
    client_pool(net::event_loop& loop, core::socket_address address, const limits& pool_limits);

    /// @brief Returns the most recently used idle connection, or starts a new one.
    /// @param[in] request id of the request, empty for none. A connection on which it was refused before is not
    ///                    returned: a second copy of that refusal would be taken for the response to this attempt.
    /// @return the connection, or nullptr when the connection limit is reached
    [[nodiscard]] std::shared_ptr<client_connection> acquire(std::string_view request = {});

    /// @brief Returns a connection to the pool; one that cannot be reused is closed.
    /// @param[in] connection      the connection
    /// @param[in] refused_request id of the request that the server has refused on it, empty for none
    void release(const std::shared_ptr<client_connection>& connection, std::string_view refused_request = {});

    /// @brief Changes the connection limit; connections in use above the new limit stay open until they are released.
    void set_connection_limit(std::size_t connections) noexcept;

    /// @return connections in use and idle
    [[nodiscard]] std::size_t size() const noexcept;

  private:
    struct idle_connection
    {
        std::shared_ptr<client_connection> connection;
        core::time_point idle_since;
        std::vector<std::string> refused_requests{};
    };

    [[nodiscard]] bool is_stale(const idle_connection& candidate, core::time_point now) const;
    void estimate_idle_limit(const client_connection& connection, core::time_point now);

    struct reuse_info
    {
        core::time_point started_at;
        core::duration idle_time{0};
        std::vector<std::string> refused_requests{};
    };

    net::event_loop* loop;
    core::socket_address target;
    limits active_limits;
    std::vector<idle_connection> idle{};
    std::unordered_map<const client_connection*, reuse_info> reused{}; ///< connections in use that were idle before
    std::optional<core::duration> estimated_idle_limit{};
    core::time_point estimate_valid_until{};
    std::size_t in_use{0};
};

} // namespace poplarport::http
