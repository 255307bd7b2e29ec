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

/// @brief Fixed settings of an upstream stand-in.
struct upstream_settings
{
    std::string name{"upstream"};
    core::socket_address listen{"127.0.0.1", 0};
    std::optional<core::socket_address> control{}; ///< no control address when empty
    std::uint32_t slots{8};                        ///< requests that run at once
    std::uint32_t queue{8};                        ///< requests that wait for a slot; further ones are shed
    service_times::options service{};
    std::chrono::milliseconds cold_start{0};   ///< time from the start in which requests take longer
    double cold_factor{4.0};                   ///< factor on service times during the cold start
    std::size_t answer_bytes{128};             ///< size of an answer where the request does not ask for one
    std::chrono::milliseconds leave_time{500}; ///< least time in which a stopping upstream answers new requests
    std::filesystem::path ledger{};            ///< no ledger when empty
    faults initial_faults{};
};

/// @brief Counts of the requests since the start.
struct upstream_counts
{
    std::uint64_t started{0};
    std::uint64_t completed{0};
    std::uint64_t cancelled{0};
    std::uint64_t shed{0};
    std::uint64_t expired{0}; ///< not started because the deadline had passed
};

/// @brief An upstream over HTTP/1.1 for tests and the demo.
///
/// Requests to any path but `/health` and `/load` run for a service time. At the control address, `GET /faults` shows
/// and `POST /faults` changes the faults, and `GET /status` shows counts and the true load.
class upstream_server
{
  public:
    /// @param[in] loop     loop of the server
    /// @param[in] settings fixed settings
    /// @throw std::system_error when an address cannot be listened on or the ledger cannot be opened
    upstream_server(net::event_loop& loop, const upstream_settings& settings);
    ~upstream_server();
    upstream_server(const upstream_server&) = delete;
    upstream_server& operator=(const upstream_server&) = delete;

    /// @return the address with the port in use
    [[nodiscard]] core::socket_address address() const;

    /// @return the control address with the port in use, if there is one
    [[nodiscard]] std::optional<core::socket_address> control_address() const;

    /// @return the true load
    [[nodiscard]] core::load_report load() const;

    /// @return counts since the start
    [[nodiscard]] const upstream_counts& counts() const noexcept;

    /// @brief Changes the faults from now on.
    void set_faults(const faults& values);

    /// @return the faults in force
    [[nodiscard]] const faults& current_faults() const noexcept;

    /// @brief Sheds new requests, finishes what runs and waits, then calls the hook.
    /// @param[in] on_stopped called once when nothing runs or waits any more
    void stop(std::function<void()> on_stopped);

    class state;

  private:
    std::unique_ptr<state> data;
};

} // namespace poplarport::standins
