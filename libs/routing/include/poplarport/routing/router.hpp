#pragma once

#include <chrono>       // milliseconds, seconds
#include <cstddef>      // size_t
#include <cstdint>      // uint32_t
#include <memory>       // shared_ptr
#include <optional>     // optional
#include <random>       // mt19937_64
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code
#include <utility>      // move
#include <vector>       // vector

#include "poplarport/core/load_report.hpp"
#include "poplarport/core/time.hpp"
#include "poplarport/routing/choice.hpp"
#include "poplarport/routing/detail/endpoint_state.hpp"
#include "poplarport/routing/endpoint.hpp"
#include "poplarport/routing/errors.hpp"

namespace poplarport::routing
{

/// @brief Settings of a router.
struct router_settings
{
    std::string availability_zone;                               ///< zone of the local node
    core::duration zone_cost{std::chrono::milliseconds{1}};      ///< extra round trip of a call to another zone
    double tail_latency_weight{1.0};                             ///< weight of low tail latency
    double measuring_cost_weight{1.0};                           ///< weight of a low measuring cost
    core::duration hint_lifetime{std::chrono::milliseconds{20}}; ///< validity of an idle hint
    /// Initial duration of a straggler flag; doubles up to a factor of 8.
    core::duration straggler_flag_duration{std::chrono::seconds{1}};
    /// Interval between calls that probe a flagged straggler.
    core::duration straggler_probe_interval{std::chrono::seconds{1}};
    /// Initial backoff after a failure; doubles up to a factor of 64.
    core::duration failure_backoff{std::chrono::milliseconds{100}};
    core::duration cold_start_ramp{std::chrono::seconds{1}}; ///< time until a new endpoint receives its full share
    /// Fraction of its slots by which an endpoint in the local zone may be busier than one in another zone, because
    /// traffic between zones is charged for.
    double zone_preference{0.0};
    /// Whether all endpoints are compared instead of two at random; better if reports are only milliseconds old.
    bool compares_all{false};
    std::uint32_t assumed_slots{8}; ///< slots of an endpoint without a report
    /// Service time of an endpoint without a report.
    core::duration assumed_service_time{std::chrono::milliseconds{10}};
};

/// @brief Newest load report of an endpoint and its age.
struct report_view
{
    core::load_report report{};
    core::duration age{0};
    std::size_t local_calls{0}; ///< local calls in flight
};

/// @brief Selects the endpoint that handles a request.
///
/// The score of an endpoint is its expected load including this call, divided by its slots, times its service time,
/// plus the network latency to its zone. The expected load is the number of local calls in flight plus the load that
/// other senders contributed to the newest load report, which converges to the mean of all endpoints within about one
/// service time. The end of each call must be reported by exactly one of `on_response`, `on_refused`, `on_failed` and
/// `on_cancelled`. Events of unknown endpoints are ignored.
class router
{
  public:
    class builder;

    /// @brief Replaces the list of endpoints; state is kept for endpoints that remain in the same incarnation.
    /// @param[in] endpoints endpoints of the service, or the subset to which the node keeps connections
    /// @param[in] now       current time, from which endpoints that join after the first list are ramped up
    void set_endpoints(std::vector<endpoint> endpoints, core::time_point now);

    /// @brief Adds an endpoint, or replaces its data; its state is kept while its incarnation is the same.
    /// @param[in] changed the endpoint
    /// @param[in] now     current time, from which a new endpoint is ramped up
    void update_endpoint(endpoint changed, core::time_point now);

    /// @brief Removes an endpoint; an unknown one is ignored.
    void remove_endpoint(std::string_view id);

    /// @brief Selects an endpoint, in time linear in the number of endpoints and without allocation.
    /// @param[in]     request       the request
    /// @param[in]     now           current time
    /// @param[in,out] random_engine source of randomness
    /// @return the choice, or nothing if no endpoint remains; `no_endpoint_reason` returns the reason
    [[nodiscard]] std::optional<choice> pick(const pick_request& request, core::time_point now,
                                             std::mt19937_64& random_engine);

    /// @brief Finds the endpoint with the minimum expected wait, without using an idle hint or a probe.
    ///
    /// A receiver names it as the better peer when it refuses a request.
    /// @param[in] request endpoints to exclude, among them the receiver itself
    /// @param[in] now     current time
    /// @return the endpoint, or nothing if no unflagged endpoint with a report remains
    [[nodiscard]] std::optional<choice> best_peer(const pick_request& request, core::time_point now) const;

    /// @brief Finds the best of the endpoints that have sent no report, whose load is assumed to be the mean.
    ///
    /// Their speed may be known from slowdown notices. A caller of hundreds of endpoints has reports of few of them.
    /// @param[in]     request       endpoints to exclude
    /// @param[in]     now           current time
    /// @param[in,out] random_engine selects one of several equal endpoints, so that not all callers use the same one
    /// @return the endpoint, or nothing if every endpoint has sent a report or is avoided
    [[nodiscard]] std::optional<choice> best_unreported_peer(const pick_request& request, core::time_point now,
                                                             std::mt19937_64& random_engine) const;

    /// @return the minimum expected wait of all endpoints that are not draining, or nothing if there is none
    [[nodiscard]] std::optional<core::duration> min_expected_wait(core::time_point now) const;

    /// @brief Returns whether sending an idle hint for the local endpoint is worth its cost.
    ///
    /// A hint helps only if the remaining endpoints are busier; how busy they must be follows from the two weights.
    /// @param[in] local_report load of the local endpoint
    /// @param[in] now          current time
    /// @return whether the endpoint has a free slot and the remaining endpoints are busy enough
    [[nodiscard]] bool is_hint_useful(const core::load_report& local_report, core::time_point now) const noexcept;

    /// @brief Records that a refused call was redirected to an endpoint, which temporarily counts as more loaded.
    void on_redirected(std::string_view id, core::time_point now);

    /// @return the reason why `pick` finds no endpoint for a request
    [[nodiscard]] std::error_code no_endpoint_reason(const pick_request& request) const noexcept;

    /// @brief Selects the endpoint whose load should be queried, if any report is too old.
    ///
    /// The caller must charge the query to its measuring budget before sending it.
    /// @param[in] now current time
    /// @return the endpoint, or nothing
    [[nodiscard]] std::shared_ptr<const endpoint> next_probe(core::time_point now);

    /// @brief Records that a call was sent to an endpoint.
    void on_sent(std::string_view id, core::time_point now);

    /// @brief Records the response to a call.
    /// @param[in] id      the endpoint
    /// @param[in] report  load report of the response, or nothing
    /// @param[in] latency time from sending the call to the end of the response
    /// @param[in] now     current time
    void on_response(std::string_view id, const std::optional<core::load_report>& report, core::duration latency,
                     core::time_point now);

    /// @brief Records that a call was refused before dispatch.
    void on_refused(std::string_view id, const std::optional<core::load_report>& report, core::time_point now);

    /// @brief Records that a call failed without a response; the endpoint enters backoff.
    void on_failed(std::string_view id, core::time_point now);

    /// @brief Records that the sender cancelled a call.
    void on_cancelled(std::string_view id, core::time_point now);

    /// @brief Records a load report that arrived independently of a call.
    void on_report(std::string_view id, const core::load_report& report, core::time_point now);

    /// @brief Records a slowdown notice for an endpoint's VM; unlike a report, it does not cover the load.
    void on_slowdown_notice(std::string_view id, std::uint32_t slowdown_percent, core::time_point now);

    /// @brief Records an idle hint of an endpoint.
    void on_idle_hint(std::string_view id, std::uint32_t free_slots, core::time_point now);

    /// @return the newest load report of an endpoint, with its age; nothing for an unknown endpoint
    [[nodiscard]] std::optional<report_view> report_of(std::string_view id, core::time_point now) const;

    /// @return whether an endpoint is flagged as a straggler
    [[nodiscard]] bool is_flagged(std::string_view id, core::time_point now) const;

    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->states.size();
    }

  private:
    using state = detail::endpoint_state;

    explicit router(router_settings new_settings);

    [[nodiscard]] std::vector<state>::iterator lower_bound(std::string_view id) noexcept;
    [[nodiscard]] state* find(std::string_view id) noexcept;
    [[nodiscard]] const state* find(std::string_view id) const noexcept;
    [[nodiscard]] state make_state(std::shared_ptr<const endpoint> target, core::time_point now) const;
    [[nodiscard]] double slots_of(const state& entry, core::time_point now) const noexcept;
    [[nodiscard]] double service_time_of(const state& entry) const noexcept;
    [[nodiscard]] double decay_factor(core::duration age, const state& entry) const noexcept;
    [[nodiscard]] double decayed_redirects(const state& entry, core::time_point now) const noexcept;
    [[nodiscard]] double load_of(const state& entry, core::time_point now) const noexcept;
    [[nodiscard]] double score_of(const state& entry, core::time_point now) const noexcept;
    [[nodiscard]] double slowdown_of(const state& entry, core::time_point now) const noexcept;
    [[nodiscard]] double slowdown_extra_of(const state& entry, core::time_point now) const noexcept;
    [[nodiscard]] double network_latency_of(const state& entry) const noexcept;
    [[nodiscard]] core::duration expected_wait_of(const state& entry, core::time_point now) const noexcept;
    template <typename predicate>
    [[nodiscard]] std::optional<choice> best_of(const pick_request& request, core::time_point now, std::size_t first,
                                                predicate is_eligible) const;
    [[nodiscard]] bool collect_candidates(const pick_request& request, core::time_point now, bool include_flagged,
                                          bool include_failed);
    [[nodiscard]] state& best_candidate(core::time_point now, std::mt19937_64& random_engine);
    [[nodiscard]] state* due_straggler_probe(core::time_point now);
    void store_report(state& entry, const core::load_report& report, core::time_point now);
    void lower_confidence(state& entry, core::time_point now) noexcept;
    void update_means() noexcept;
    void update_typical_slowdown(core::time_point now);
    void update_flag(state& entry, core::time_point now);
    void end_straggler_probe(state& entry, core::duration latency, core::time_point now);
    [[nodiscard]] double straggler_factor() const noexcept;
    [[nodiscard]] double median_service_time();
    [[nodiscard]] double median_latency(core::time_point now);
    template <typename metric>
    [[nodiscard]] double median(metric metric_of);

    router_settings settings;
    double tail_latency_preference; // fraction of the weight on low tail latency
    double mean_load{0.0};          // load per slot from other senders, mean of the newest reports
    double mean_service_time{0.0};  // in nanoseconds, mean of the newest reports
    double typical_slowdown{1.0};   // median of the newest reports and notices, as a factor
    bool has_endpoint_list{false};
    std::vector<state> states; // sorted by id
    std::vector<state*> candidates;
    std::vector<double> scratch;
};

/// @brief Builder of a router.
class router::builder
{
  public:
    /// @param[in] zone zone of the local node
    builder& availability_zone(std::string zone)
    {
        this->settings.availability_zone = std::move(zone);
        return *this;
    }

    /// @param[in] round_trip extra round trip of a call to another zone
    builder& zone_cost(core::duration round_trip) noexcept
    {
        this->settings.zone_cost = round_trip;
        return *this;
    }

    /// @param[in] fraction fraction of its slots by which an endpoint in the local zone may be busier
    builder& zone_preference(double fraction) noexcept
    {
        this->settings.zone_preference = fraction;
        return *this;
    }

    /// @brief Compares all endpoints for each call instead of two at random.
    builder& compare_all(bool enabled) noexcept
    {
        this->settings.compares_all = enabled;
        return *this;
    }

    /// @brief Sets the two weights; only their ratio matters.
    /// @param[in] tail_latency   weight of low tail latency: stragglers are flagged sooner, load is queried more often
    /// @param[in] measuring_cost weight of a low measuring cost
    builder& weights(double tail_latency, double measuring_cost) noexcept
    {
        this->settings.tail_latency_weight = tail_latency;
        this->settings.measuring_cost_weight = measuring_cost;
        return *this;
    }

    /// @param[in] lifetime validity of an idle hint
    builder& hint_lifetime(core::duration lifetime) noexcept
    {
        this->settings.hint_lifetime = lifetime;
        return *this;
    }

    /// @param[in] flag_duration  initial duration of a straggler flag
    /// @param[in] probe_interval interval between calls that probe a flagged straggler
    builder& straggler(core::duration flag_duration, core::duration probe_interval) noexcept
    {
        this->settings.straggler_flag_duration = flag_duration;
        this->settings.straggler_probe_interval = probe_interval;
        return *this;
    }

    /// @param[in] initial_backoff backoff after the first of consecutive failures
    builder& failure_backoff(core::duration initial_backoff) noexcept
    {
        this->settings.failure_backoff = initial_backoff;
        return *this;
    }

    /// @param[in] ramp time until a new endpoint receives its full share
    builder& cold_start_ramp(core::duration ramp) noexcept
    {
        this->settings.cold_start_ramp = ramp;
        return *this;
    }

    /// @param[in] slots        slots of an endpoint without a report
    /// @param[in] service_time service time of an endpoint without a report
    builder& assumed(std::uint32_t slots, core::duration service_time) noexcept
    {
        this->settings.assumed_slots = slots;
        this->settings.assumed_service_time = service_time;
        return *this;
    }

    /// @return the router, without endpoints
    /// @throw std::invalid_argument if a time or a weight is negative, both weights are zero, or the assumed slots or
    ///        the assumed service time is zero
    [[nodiscard]] router build() const
    {
        return router{this->settings};
    }

  private:
    router_settings settings;
};

} // namespace poplarport::routing
