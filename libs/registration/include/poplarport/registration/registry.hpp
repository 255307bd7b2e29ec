#pragma once

#include <cstdint>      // uint32_t, uint64_t
#include <deque>        // deque
#include <optional>     // optional
#include <string>       // string
#include <system_error> // error_code

#include "poplarport/core/time.hpp"
#include "poplarport/registration/errors.hpp"

namespace poplarport::registration
{

/// @brief Identifies one instance of an upstream, that is, one start of its process.
struct upstream_instance
{
    std::string id;
    std::uint64_t started_at_ms{0}; ///< Unix time of the process start in milliseconds; zero if not sent

    bool operator==(const upstream_instance&) const = default;
};

/// @return the instance as `id@started_at_ms`, for gossip and logs
[[nodiscard]] std::string to_string(const upstream_instance& instance);

/// @brief Content of an upstream's heartbeat.
struct upstream_heartbeat
{
    upstream_instance instance{};
    std::string service;
    std::string address;
    std::uint32_t slots{0};
    bool draining{false};
    std::uint64_t sequence{0};        ///< increases with each heartbeat of an instance
    core::duration cold_remaining{0}; ///< remaining time for which the upstream is slow after its start
};

/// @brief Whether the local upstream accepts work.
enum class upstream_state
{
    unknown,  ///< no heartbeat since the start of the node
    ready,    ///< accepts work
    draining, ///< finishes its requests and accepts no new ones
    left      ///< has deregistered
};

/// @brief State of the upstream beside the node, from its heartbeats.
struct local_upstream
{
    upstream_instance instance{};
    upstream_state state{upstream_state::unknown};
    std::uint32_t slots{0};
    std::uint64_t sequence{0};
    core::time_point last_heartbeat_at{};
    core::time_point cold_until{};
};

/// @brief Tracks the registration of the upstream beside a node and rejects outdated heartbeats.
///
/// Draining and deregistration are final for an instance: a late heartbeat does not revert them. When another instance
/// registers, the one registered before it has ended. A heartbeat with an earlier start time than the current
/// instance's is outdated if the id is the same, or if the current instance is ready and sent a heartbeat within the
/// last 5 s; later, the clock may have been set back, and the heartbeat is accepted.
class registry
{
  public:
    /// @param[in] service service of the local upstream
    /// @param[in] address address of the local upstream, as its heartbeats state it
    registry(std::string service, std::string address);

    /// @brief Processes a heartbeat.
    /// @return an empty code, or `malformed`, `other_service`, `other_address` or `outdated` if it is rejected and has
    ///         no effect
    std::error_code on_heartbeat(const upstream_heartbeat& heartbeat, core::time_point now);

    /// @brief Processes the deregistration of an instance.
    /// @return an empty code, or `outdated` if another instance is current
    std::error_code on_deregistration(const upstream_instance& instance, core::time_point now);

    /// @brief Processes a response in which the current instance states that it leaves.
    ///
    /// It may arrive seconds before the heartbeat that says the same; that heartbeat is still to be acknowledged.
    void on_leaving();

    /// @brief Records a deregistration that was received from another source; ignored if one is held already.
    /// @param[in] instance the instance as formatted by to_string()
    void record_deregistration(const std::string& instance);

    /// @brief Registers an upstream that responds to a status check before its first heartbeat to this process.
    /// @return whether it was registered: no heartbeat has arrived and no deregistration of it is held
    bool register_responding(const std::string& id, std::uint32_t slots, core::time_point now);

    [[nodiscard]] const local_upstream& current() const noexcept
    {
        return this->upstream;
    }

    /// @return the instance that drained or deregistered last, as formatted by to_string(); empty for none
    [[nodiscard]] const std::string& deregistered_instance() const noexcept
    {
        return this->last_deregistered;
    }

  private:
    [[nodiscard]] std::error_code check(const upstream_heartbeat& heartbeat, core::time_point now) const;
    [[nodiscard]] bool has_ended(const upstream_instance& instance) const;
    void begin(const upstream_heartbeat& heartbeat);
    void end_current();

    std::string service;
    std::string address;
    local_upstream upstream{};
    std::deque<upstream_instance> ended_instances{};
    std::string last_deregistered{};
};

} // namespace poplarport::registration
