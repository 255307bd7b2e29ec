#pragma once

#include <chrono>     // milliseconds
#include <cstddef>    // size_t
#include <cstdint>    // uint32_t, uint64_t
#include <filesystem> // path
#include <functional> // function
#include <memory>     // unique_ptr
#include <optional>   // optional
#include <string>     // string

#include "poplarport/core/load_report.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/standins/upstream/faults.hpp"
#include "poplarport/standins/upstream/service_times.hpp"

namespace poplarport::standins
{

/// @brief Settings of an upstream stand-in that are fixed at its start.
struct upstream_settings
{
    std::string name{"upstream"};
    core::socket_address listen{"127.0.0.1", 0};
    std::optional<core::socket_address> control{}; ///< no control address if empty
    std::uint32_t slots{8};                        ///< requests that run concurrently
    std::uint32_t queue{8};                        ///< requests that may wait for a slot; further ones are shed
    service_times::options service{};
    std::chrono::milliseconds cold_start{0};   ///< time after the start during which service times are longer
    double cold_factor{4.0};                   ///< multiplies service times during the cold start
    std::size_t response_bytes{128};           ///< size of a response body if the request does not state one
    std::chrono::milliseconds stop_grace{500}; ///< minimum time for which a stopping upstream still responds
    std::filesystem::path ledger{};            ///< no ledger if empty
    faults initial_faults{};
};

/// @brief Request counts since the start.
struct upstream_counts
{
    std::uint64_t started{0};
    std::uint64_t completed{0};
    std::uint64_t cancelled{0};
    std::uint64_t shed{0};
    std::uint64_t expired{0}; ///< not started, because the deadline had passed
};

/// @brief Stand-in for an HTTP/1.1 upstream, with fault injection, for tests and the demo.
///
/// Requests to any path except `/health` and `/load` take a generated service time. At the control address,
/// `GET /faults` returns and `POST /faults` changes the faults, and `GET /status` returns the counts and the actual
/// load.
class upstream_server
{
  public:
    /// @param[in] loop     event loop of the server
    /// @param[in] settings fixed settings
    /// @throw std::system_error if an address cannot be listened on or the ledger cannot be opened
    upstream_server(net::event_loop& loop, const upstream_settings& settings);
    ~upstream_server();
    upstream_server(const upstream_server&) = delete;
    upstream_server& operator=(const upstream_server&) = delete;

    /// @return the local address, with the port in use
    [[nodiscard]] core::socket_address address() const;

    /// @return the control address with the port in use; nothing if there is none
    [[nodiscard]] std::optional<core::socket_address> control_address() const;

    /// @return the actual load, regardless of the report mode
    [[nodiscard]] core::load_report load() const;

    /// @return the request counts since the start
    [[nodiscard]] const upstream_counts& counts() const noexcept;

    /// @brief Replaces the faults.
    void set_faults(const faults& new_faults);

    /// @return the active faults
    [[nodiscard]] const faults& current_faults() const noexcept;

    /// @brief Stops the stand-in: sheds new requests and finishes those that run or wait.
    /// @param[in] on_stopped called once, when no request runs or waits and the stop grace time has passed
    void stop(std::function<void()> on_stopped);

    class state;

  private:
    std::unique_ptr<state> data;
};

} // namespace poplarport::standins
