#pragma once

#include <cstdint>       // uint64_t
#include <functional>    // function
#include <memory>        // shared_ptr, unique_ptr
#include <optional>      // optional
#include <string>        // string
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include "poplarport/admission/gate.hpp"
#include "poplarport/core/ids.hpp"
#include "poplarport/core/load_report.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/http/client_pool.hpp"
#include "poplarport/http/message.hpp"
#include "poplarport/manifest/service.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/attempt_channel.hpp"

namespace poplarport::node
{

/// @brief What the receiving side knows of a call.
struct received_call
{
    core::request_id id;
    std::string tenant;
    std::string traffic_class;
    core::time_point deadline;                      ///< the upstream must not start the request after this instant
    std::uint32_t depth{0};                         ///< calls above this one
    std::uint32_t attempt{1};                       ///< number of the attempt on the request's path
    std::optional<core::duration> wait_elsewhere{}; ///< expected wait at the best peer
};

namespace detail
{
class local_channel;
} // namespace detail

/// @brief The receiving side of a node: admits calls to the local upstream, queues or refuses them.
class receiver
{
  public:
    /// @brief Counters; they only grow.
    struct counters
    {
        std::uint64_t admitted{0};
        std::uint64_t queued{0};
        std::uint64_t refused{0};
        std::uint64_t dispatched{0};
        std::uint64_t answered{0};
        std::uint64_t failed{0};
        std::uint64_t cancelled{0};
    };

    /// @brief Hooks to the rest of the node.
    struct hooks
    {
        /// Peers with an expected wait below a limit, best first.
        std::function<std::vector<core::node_id>(core::duration wait_limit)> better_peers;
        std::function<void()> on_slot_free; ///< a slot became free and nothing waits for it
    };

    /// @param[in] loop     loop of the node
    /// @param[in] upstream address of the local upstream
    /// @param[in] rules    rules of the service
    /// @param[in] events   hooks to the rest of the node
    receiver(net::event_loop& loop, core::socket_address upstream, const manifest::service& rules, hooks events);
    ~receiver();
    receiver(const receiver&) = delete;
    receiver& operator=(const receiver&) = delete;

    /// @brief Offers a request to the local upstream.
    /// @param[in] head   head of the request, without hop-by-hop and internal fields
    /// @param[in] call   what is known of the call
    /// @param[in] events hooks of the attempt; a refusal is told by on_failed
    [[nodiscard]] std::shared_ptr<attempt_channel> start(http::request_head head, received_call call,
                                                         attempt_channel::hooks events);

    /// @brief Puts the rules of a new configuration in force.
    void apply(const manifest::service& rules);

    /// @brief Refuses later requests, and after 1.5 s those that still wait; running ones finish.
    void drain();

    /// @return whether no request is queued or running
    [[nodiscard]] bool is_idle() const noexcept
    {
        return this->channels.empty();
    }

    /// @return load of the local upstream
    [[nodiscard]] core::load_report load() const;

    /// @return counters since the start
    [[nodiscard]] const counters& statistics() const noexcept
    {
        return this->counted;
    }

  private:
    friend class detail::local_channel;

    [[nodiscard]] core::duration redirect_limit() const;
    void act_on(const admission::changes& result);
    void refuse(const std::string& ticket, std::error_code reason);
    void end(const std::string& ticket, std::optional<core::duration> service_time);
    void schedule_expiry();

    net::event_loop* loop;
    hooks events;
    std::unique_ptr<http::client_pool> pool;
    core::socket_address upstream_address;
    std::uint32_t connection_limit{0};
    admission::gate gate;
    std::unordered_map<std::string, std::shared_ptr<detail::local_channel>> channels{};
    net::timer expiry_timer;
    net::timer drain_timer;
    std::uint64_t last_ticket{0};
    bool draining{false};
    counters counted{};
};

} // namespace poplarport::node
