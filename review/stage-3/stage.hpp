#pragma once

#include <chrono>     // milliseconds
#include <cstddef>    // size_t
#include <cstdint>    // int64_t, uint64_t
#include <fstream>    // ofstream
#include <functional> // function
#include <list>       // list
#include <map>        // map
#include <memory>     // shared_ptr, unique_ptr
#include <string>     // string

#include <nlohmann/json.hpp>

#include "../../platform/tests/prove/store_standin.hpp"
#include "poplarport/control/client.hpp"
#include "poplarport/http/server.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"

namespace poplarport::review
{

/// @brief Stand-ins around poplar-mesh processes that a script starts: the store, one upstream beside each node, and
/// the record of the case.
///
/// Each node has a loopback address of its own with the ports of a small deployment.
class stage
{
  public:
    /// @brief A node, which the script starts, and the upstream beside it.
    struct place
    {
        std::size_t number{0};
        std::string service{};
        std::string ip{};
        std::string upstream_id{};
        std::unique_ptr<http::server> upstream{};
        std::uint64_t heartbeats{0};
    };

    /// @brief Answers a request that has reached an upstream; status checks are answered by the stage.
    using request_handler = std::function<void(place&, const std::shared_ptr<http::server_exchange>&)>;

    /// @param[in] folder folder for the settings of the nodes
    /// @param[in] record path of the record
    stage(std::string folder, const std::string& record);

    /// @brief Adds a node of a service, writes its settings to FOLDER/nodeN.toml and starts its upstream.
    place& add(const std::string& service, request_handler handler);

    /// @brief Writes a configuration to the store.
    void configure(const nlohmann::json& value);

    /// @brief Tells the script that the nodes can be started, and waits until all of them are ready and know each
    /// other.
    /// @return whether they are within 20 s
    bool wait_for_nodes();

    /// @brief Runs the event loop until the condition holds.
    /// @return whether it holds within the time
    bool run_until(const std::function<bool()>& condition, core::duration limit);

    /// @brief Runs the event loop for a time.
    void run_for(core::duration time);

    /// @brief Runs a task later.
    void after(core::duration delay, std::function<void()> task);

    /// @brief Writes a line with the time since the start to the record.
    void note(const std::string& line);

    [[nodiscard]] net::event_loop& event_loop() noexcept
    {
        return this->loop;
    }

    /// @return address of the callers' listener of a node
    [[nodiscard]] static core::socket_address callers_of(const place& node);

  private:
    void send_heartbeats();
    [[nodiscard]] bool is_ready(const place& node);
    [[nodiscard]] control::response get(const core::socket_address& from, const std::string& path);

    std::string directory;
    std::ofstream record_file;
    net::event_loop loop{};
    test::store_standin store{loop};
    core::socket_address store_address;
    control::client client{loop};
    core::time_point started_at;
    std::int64_t born_ms;
    std::list<place> places{};
    std::map<std::uint64_t, std::unique_ptr<net::timer>> delayed{};
    std::uint64_t last_task{0};
    net::timer heartbeat_timer;
};

/// @brief A route of a configuration.
nlohmann::json make_route(const std::string& name, const std::string& kind, const std::string& prefix,
                          const std::string& service);

/// @brief A configuration with routes of the host `svc.test`.
nlohmann::json make_configuration(int version, const nlohmann::json& routes, const nlohmann::json& services);

/// @brief Header section of a response of an upstream.
http::response_header make_response(const stage::place& at, const std::string& request);

/// @brief Value of a field of a request, empty if there is none.
std::string field_of(const http::server_exchange& exchange, const char* name);

} // namespace poplarport::review
