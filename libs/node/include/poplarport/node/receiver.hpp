#pragma once

#include <cstddef>       // size_t
#include <cstdint>       // uint32_t, uint64_t
#include <functional>    // function, less
#include <map>           // map
#include <memory>        // shared_ptr, unique_ptr
#include <optional>      // optional
#include <set>           // set
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
#include "poplarport/measuring/class_durations.hpp"
#include "poplarport/net/event_loop.hpp"
#include "poplarport/net/timer.hpp"
#include "poplarport/node/attempt_channel.hpp"
#include "poplarport/node/call_protocol.hpp"

namespace poplarport::node
{

/// @brief Limits of a receiver, from the configuration of its service or from its upstream's registration.
struct receiver_limits
{
    std::uint32_t slots{1};                              ///< requests that the upstream runs concurrently
    std::size_t queue_length{0};                         ///< maximum number of queued requests
    std::uint32_t connection_limit{1};                   ///< maximum number of connections to the upstream
    core::duration drain_limit{std::chrono::seconds{2}}; ///< a deregistered upstream receives no work after this time
    core::duration cold_start_ramp{0};                   ///< time after the start until all slots are used
    /// Whether a queued request is refused as soon as it can no longer be completed by its target, estimated from the
    /// service time of its class. Otherwise it is refused as soon as it can no longer be completed by its deadline,
    /// estimated from the mean service time.
    bool bounds_starts{false};
    /// Whether waiting requests share the upstream by tenant. Otherwise only their class and deadline count.
    bool shares_by_tenant{true};
    std::map<std::string, double, std::less<>> tenant_weights{};
    std::map<std::string, double, std::less<>> class_weights{};
};

/// @return the limits in a service's configuration
[[nodiscard]] receiver_limits to_receiver_limits(const manifest::service& rules);

namespace detail
{
class local_channel;
class status_check;
} // namespace detail

/// @brief The receiving side of a node: admits, queues or refuses calls to the local upstream.
class receiver
{
  public:
    /// @brief Monotonic counters.
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

    /// @brief Callbacks into the other parts of the node.
    struct hooks
    {
        /// Lists peers with an expected wait below a limit, best first.
        std::function<std::vector<core::node_id>(core::duration wait_limit)> better_peers;
        std::function<void()> on_slot_free; ///< a slot became free and no request is queued
        /// Lists peers at which a request with a usual service time ends sooner than on this VM, whose work takes
        /// `slowdown` times as long as usual; empty if requests are never passed on for that reason.
        std::function<std::vector<core::node_id>(double slowdown, core::duration service_time)> faster_peers{};
        /// The upstream reported its load, with a response or a status check.
        std::function<void(const upstream_load&)> on_load{};
        /// The upstream stated a notice with its response to a request.
        std::function<void(const upstream_notice&)> on_notice{};
        /// Requests the upstream's load and calls the function after a short time limit at the latest, also without a
        /// response; may be empty.
        std::function<void(std::function<void()>)> refresh_load{};
        std::function<void()> on_misdirected{};            ///< another upstream responds at the upstream's address
        std::function<void(std::error_code)> on_failure{}; ///< a request failed at the upstream
    };

    /// @param[in] loop     event loop of the node
    /// @param[in] upstream address of the local upstream
    /// @param[in] protocol header fields of the upstream; must outlive the receiver
    /// @param[in] limits   limits of admission
    /// @param[in] events   callbacks into the other parts of the node
    receiver(net::event_loop& loop, core::socket_address upstream, const call_protocol& protocol,
             const receiver_limits& limits, hooks events);
    ~receiver();
    receiver(const receiver&) = delete;
    receiver& operator=(const receiver&) = delete;

    /// @brief Offers a request to the local upstream.
    /// @param[in] header header section of the request, without hop-by-hop and internal fields
    /// @param[in] call   properties of the call
    /// @param[in] events callbacks of the attempt; a refusal is reported through on_failed
    /// @return the attempt
    [[nodiscard]] std::shared_ptr<attempt_channel> start(http::request_header header, received_call call,
                                                         attempt_channel::hooks events);

    /// @brief Applies new limits.
    void apply(const receiver_limits& limits);

    /// @brief Sets the identity of the upstream instance to which requests are addressed; empty when it has none.
    void set_upstream(std::string identity);

    /// @brief Sets whether the upstream accepts new work.
    ///
    /// While it does not, new requests are refused at once. Requests that are still queued are refused before the drain
    /// limit. Running requests finish.
    void set_accepting(bool accepting);

    /// @brief Limits the requests per second that the upstream gets from all nodes; empty for no limit.
    void set_max_request_rate(std::optional<double> per_second);

    /// @brief Limits the requests that the upstream gets in any second while it is cold.
    /// @param[in] per_second   requests in any second; empty for no limit
    /// @param[in] first_second requests in the first second of the receiver, in which an earlier process may have used
    ///                         the limit
    void set_cold_limit(std::optional<double> per_second, double first_second);

    /// @brief Processes a load report that the upstream sent independently of a call.
    void on_upstream_load(const upstream_load& load);

    /// @brief Sends a status check to the upstream, on a connection of the pool.
    /// @param[in] path    path of the check
    /// @param[in] timeout time limit for the response
    /// @param[in] hook    receives the header section of the response, or nullptr without a response
    void check(const std::string& path, core::duration timeout, std::function<void(const http::response_header*)> hook);

    /// @brief Refuses new requests at once and queued requests before the drain limit; running requests finish.
    void drain();

    /// @return whether no request is queued or running
    [[nodiscard]] bool is_idle() const noexcept
    {
        return this->channels.empty();
    }

    /// @return the current load of the local upstream
    [[nodiscard]] core::load_report load() const;

    /// @return time since the upstream's latest load report, or nothing when it has sent none
    [[nodiscard]] std::optional<core::duration> load_age() const;

    /// @return counters since construction
    [[nodiscard]] const counters& statistics() const noexcept
    {
        return this->totals;
    }

  private:
    friend class detail::local_channel;
    friend class detail::status_check;

    [[nodiscard]] core::duration redirect_limit() const;
    [[nodiscard]] bool is_load_outdated() const;
    void offer(const admission::ticket& offered);
    [[nodiscard]] std::vector<core::node_id> faster_peers() const;
    void act_on(const admission::changes& result);
    void refuse(const std::string& ticket, std::error_code reason);
    void refuse(const std::string& ticket, std::error_code reason, std::vector<core::node_id> better);
    void end(const std::string& ticket, const std::string& traffic_class, std::optional<core::duration> service_time,
             std::uint32_t slowdown);
    [[nodiscard]] core::time_point ticket_deadline(const received_call& call) const;
    void schedule_expiry();

    net::event_loop* loop;
    const call_protocol* protocol;
    hooks events;
    std::unique_ptr<http::client_pool> pool;
    core::socket_address upstream_address;
    std::uint32_t connection_limit{0};
    admission::gate gate;
    std::unordered_map<std::string, std::shared_ptr<detail::local_channel>> channels{};
    std::set<std::shared_ptr<detail::status_check>> checks{}; ///< status checks in progress
    net::timer expiry_timer;
    net::timer drain_timer;
    std::uint64_t last_ticket{0};
    bool draining{false};
    bool accepting{true};
    std::string identity{};
    std::uint32_t slowdown_percent{100};
    std::optional<core::time_point> load_reported_at{}; ///< time of the upstream's latest load report
    measuring::class_durations usual_service_times{};   ///< service times at the VM's usual speed
    bool bounds_starts{false};
    bool shares_by_tenant{true};
    core::duration queue_drain_time{0}; ///< requests still queued this long after a drain began are refused
    counters totals{};
};

} // namespace poplarport::node
