#pragma once

#include <algorithm>     // max
#include <chrono>        // milliseconds, seconds
#include <cstddef>       // size_t
#include <cstdint>       // uint32_t
#include <optional>      // optional
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <utility>       // move
#include <vector>        // vector

#include "poplarport/admission/detail/fair_queue.hpp"
#include "poplarport/admission/errors.hpp"
#include "poplarport/admission/start_rate.hpp"
#include "poplarport/admission/start_window.hpp"
#include "poplarport/admission/ticket.hpp"
#include "poplarport/core/ids.hpp"
#include "poplarport/core/load_report.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/measuring/duration_estimator.hpp"

namespace poplarport::admission
{

/// @brief Limits of a gate, from the service's configuration.
struct limits
{
    std::uint32_t slots{1};         ///< requests that the upstream runs concurrently
    std::size_t queue_capacity{0};  ///< maximum number of queued requests
    detail::weights tenant_weights; ///< weights by tenant name; 1 if not listed
    detail::weights class_weights;  ///< weights by class name; 1 if not listed
    /// Whether a ticket's deadline is its latest start, already computed by the owner. Otherwise it is the latest end,
    /// from which the mean service time is subtracted.
    bool deadline_bounds_start{false};
};

/// @brief Decides which requests run on the upstream of this node, which wait and which are refused.
///
/// The concurrency limit is the number of upstream slots, ramped up after a cold start. The bounded queue serves
/// tenants and classes by weight, and by deadline within a class. Refusals are immediate and carry a result code.
class gate
{
  public:
    class builder;

    /// @brief Offers a request.
    /// @param[in] offered the request
    /// @param[in] now     current time
    /// @return whether the request runs now, is queued or is refused
    [[nodiscard]] decision offer(ticket offered, core::time_point now);

    /// @brief Ends a running request and passes its slot to the next queued request.
    /// @param[in] id           the request; ignored if it is not running
    /// @param[in] service_time time that the upstream took; updates the estimate
    /// @param[in] now          current time
    /// @return the queued requests that start and those that are refused
    [[nodiscard]] changes release(const core::request_id& id, core::duration service_time, core::time_point now);

    /// @brief Cancels a queued or running request; its service time does not enter the estimate.
    /// @param[in] id  the request; ignored if it is unknown
    /// @param[in] now current time
    /// @return the queued requests that start and those that are refused; the cancelled request is in neither
    [[nodiscard]] changes cancel(const core::request_id& id, core::time_point now);

    /// @brief Refuses queued requests whose deadline has passed or can no longer be met, and fills free slots.
    ///
    /// Must be called at `next_deadline`, and regularly (about every 10 ms) while requests are queued.
    /// @param[in] now current time
    /// @return the queued requests that start and those that are refused
    [[nodiscard]] changes expire(core::time_point now);

    /// @brief Replaces the limits; running requests continue.
    /// @param[in] new_limits the new limits
    /// @param[in] now        current time
    /// @return the queued requests that start and those that are refused
    /// @throw std::invalid_argument if there are no slots or a weight is not positive
    [[nodiscard]] changes set_limits(limits new_limits, core::time_point now);

    /// @brief Limits how many requests start per second, beside the slots.
    /// @param[in] per_second requests per second; empty for no limit
    /// @param[in] now        current time
    /// @return the queued requests that start and those that are refused
    [[nodiscard]] changes set_max_start_rate(std::optional<double> per_second, core::time_point now);

    /// @brief Limits how many requests start in any second, for an upstream that is cold.
    /// @param[in] per_second   starts in any second; empty for no limit
    /// @param[in] first_second starts in the first second of the gate, in which an earlier process may have used the
    ///                         limit
    /// @param[in] now          current time
    /// @return the queued requests that start and those that are refused
    [[nodiscard]] changes set_cold_limit(std::optional<double> per_second, double first_second, core::time_point now);

    /// @brief Refuses all later requests; queued and running requests continue within their deadlines.
    void drain() noexcept;

    /// @brief Refuses all queued requests; running requests continue.
    /// @return the refused requests
    [[nodiscard]] std::vector<refusal> refuse_queued();

    /// @return the minimum mean time between two starts, zero without a limit
    [[nodiscard]] core::duration min_start_interval() const noexcept
    {
        return std::max(this->max_start_rate.interval(), this->recent_starts.interval());
    }

    /// @return the load report to send with responses; `slots` is the current concurrency limit, or the concurrency
    ///         that the start rate permits if it is lower
    [[nodiscard]] core::load_report load(core::time_point now) const;

    /// @return the estimated time until a ticket starts, zero if a slot is free
    [[nodiscard]] core::duration expected_wait(const ticket& offered, core::time_point now) const;

    /// @return the earliest deadline in the queue
    [[nodiscard]] std::optional<core::time_point> next_deadline() const
    {
        return this->queue.earliest_deadline();
    }

    /// @return the number of requests that may currently run concurrently, ramp included
    [[nodiscard]] std::uint32_t concurrency_limit(core::time_point now) const noexcept;

  private:
    struct running_request
    {
        std::string tenant;
        core::time_point started_at;
    };

    gate(limits initial_limits, core::duration initial_service_time, core::duration ramp_duration,
         core::time_point now);

    [[nodiscard]] bool can_start(core::time_point now) const;
    [[nodiscard]] bool permits_start(core::time_point now) const;
    [[nodiscard]] bool meets_deadline(core::time_point deadline, core::time_point start, core::time_point now) const;
    /// @return whether a request may start regardless of the estimated service time, so that the estimate is renewed
    [[nodiscard]] bool has_exploration_capacity(core::time_point now) const noexcept;
    void start(const ticket& admitted, core::time_point now);
    void remove_running(const core::request_id& id);
    [[nodiscard]] decision enqueue(ticket offered);
    void refuse_due(changes& result, core::time_point now);
    void fill_slots(changes& result, core::time_point now);

    limits active_limits;
    core::duration ramp;
    core::time_point built_at;
    detail::fair_queue queue;
    std::unordered_map<core::request_id, running_request> running;
    measuring::duration_estimator service_time;
    start_rate max_start_rate{};
    start_window recent_starts;
    bool is_draining{false};
};

/// @brief Builder of a gate.
class gate::builder
{
  public:
    /// @param[in] count requests that the upstream runs concurrently
    builder& slots(std::uint32_t count) noexcept
    {
        this->settings.slots = count;
        return *this;
    }

    /// @param[in] count maximum number of queued requests
    builder& queue_capacity(std::size_t count) noexcept
    {
        this->settings.queue_capacity = count;
        return *this;
    }

    /// @param[in] tenant name of a tenant
    /// @param[in] weight its weight, greater than 0
    builder& tenant_weight(std::string_view tenant, double weight)
    {
        this->settings.tenant_weights.insert_or_assign(std::string{tenant}, weight);
        return *this;
    }

    /// @param[in] traffic_class name of a class
    /// @param[in] weight        its weight within a tenant, greater than 0
    builder& class_weight(std::string_view traffic_class, double weight)
    {
        this->settings.class_weights.insert_or_assign(std::string{traffic_class}, weight);
        return *this;
    }

    /// @param[in] estimate service time assumed until the first request has ended
    builder& initial_service_time(core::duration estimate) noexcept
    {
        this->initial_estimate = estimate;
        return *this;
    }

    /// @param[in] ramp_duration time from the start until all slots are in use; zero for an upstream that is already
    /// warm
    builder& cold_start_ramp(core::duration ramp_duration) noexcept
    {
        this->ramp = ramp_duration;
        return *this;
    }

    /// @param[in] now current time, at which the ramp begins
    /// @throw std::invalid_argument if there are no slots or a weight is not positive
    [[nodiscard]] gate build(core::time_point now) const
    {
        return gate{this->settings, this->initial_estimate, this->ramp, now};
    }

  private:
    limits settings{1, 32, {}, {}};
    core::duration initial_estimate{std::chrono::milliseconds{10}};
    core::duration ramp{0};
};

} // namespace poplarport::admission
