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
    std::string id;                 ///< 1 to 96 printable ASCII characters, without spaces
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
/// registers, the one registered before it has ended. The start time alone does not tell which of two instances is the
/// live one: a heartbeat may be late, or the clock may have been set back before the upstream restarted. An instance
/// with a later start time replaces the current one at once. Any other instance is rejected as `superseded` until the
/// current one has sent no heartbeat for 5 s; an instance with the same id, or one that was replaced before, must then
/// also have sent two heartbeats.
class registry
{
  public:
    /// @param[in] service service of the local upstream
    /// @param[in] address address of the local upstream, as its heartbeats state it
    registry(std::string service, std::string address);

    /// @brief Processes a heartbeat.
    /// @return an empty code, or `malformed`, `other_service`, `other_address`, `outdated` or `superseded` if it is
    ///         rejected and has no effect
    std::error_code on_heartbeat(const upstream_heartbeat& heartbeat, core::time_point now);

    /// @brief Processes the deregistration of an instance.
    /// @return an empty code, or `malformed` without a valid id, or `superseded` if another instance is current
    std::error_code on_deregistration(const upstream_instance& instance, core::time_point now);

    /// @brief Processes a response in which the current instance states that it leaves.
    ///
    /// It may arrive seconds before the heartbeat that says the same; that heartbeat is still to be acknowledged.
    void on_leaving();

    /// @brief Records a deregistration that was received from another source; ignored if one is held already.
    /// @param[in] instance the instance as formatted by to_string()
    void record_deregistration(const std::string& instance);

    /// @brief Registers an upstream that responds to a status check before its first heartbeat to this process.
    /// @return whether it was registered: the id is valid, no heartbeat has arrived and no deregistration of it is held
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
    /// An instance that was replaced by another one.
    struct ended_instance
    {
        upstream_instance instance{};
        bool was_leaving{false}; ///< it had drained or deregistered
    };

    /// An instance that sends heartbeats while another one is current.
    struct rival_instance
    {
        upstream_instance instance{};
        std::uint64_t sequence{0};
        bool sent_two_heartbeats{false};
    };

    [[nodiscard]] std::error_code check(const upstream_heartbeat& heartbeat) const;
    [[nodiscard]] bool is_current(const upstream_instance& instance) const;
    [[nodiscard]] bool is_later(const upstream_instance& instance) const;
    [[nodiscard]] bool is_silent(core::time_point now) const;
    [[nodiscard]] bool has_outlived_current(const upstream_instance& instance, core::time_point now) const;
    [[nodiscard]] bool may_follow_current(const upstream_instance& instance, core::time_point now) const;
    [[nodiscard]] const ended_instance* find_ended(const upstream_instance& instance) const;
    void record_rival(const upstream_heartbeat& heartbeat);
    void replace_current(const upstream_instance& instance);

    std::string service;
    std::string address;
    local_upstream upstream{};
    std::deque<ended_instance> ended_instances{};
    std::optional<rival_instance> rival{};
    std::string last_deregistered{};
};

} // namespace poplarport::registration
