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
    std::string availability_zone;                               ///< zone of the node itself
    core::duration zone_cost{std::chrono::milliseconds{1}};      ///< extra round trip of a call to another zone
    double tail_latency_weight{1.0};                             ///< weight of low tail latency
    double measuring_cost_weight{1.0};                           ///< weight of a low cost of measuring
    core::duration hint_lifetime{std::chrono::milliseconds{20}}; ///< an idle hint is valid this long
    core::duration straggler_mark{std::chrono::seconds{1}}; ///< first length of a straggler mark; doubles up to 8 times
    core::duration straggler_trial{std::chrono::seconds{1}}; ///< time between calls that probe a marked straggler
    core::duration failure_back_off{
        std::chrono::milliseconds{100}};                     ///< first back-off after a failure; doubles up to 64 times
    core::duration cold_start_ramp{std::chrono::seconds{1}}; ///< time in which a new endpoint gets its full part
    /// Part of its slots by which an endpoint in the own zone may be busier than one in another zone, because traffic
    /// between zones is paid for.
    double zone_preference{0.0};
    /// Whether all endpoints are compared and not two at random; better where reports are only milliseconds old.
    bool compares_all{false};
    std::uint32_t assumed_slots{8}; ///< slots of an endpoint that has not reported yet
    core::duration assumed_service_time{std::chrono::milliseconds{10}}; ///< its service time
};

/// @brief What is known of an endpoint's load.
struct report_view
{
    core::load_report report{};
    core::duration age{0};
    std::size_t own_calls{0}; ///< calls of this node in flight
};

/// @brief Chooses the endpoint that handles a request.
///
/// The score of an endpoint is its expected load with this call, divided by its slots, times its service time, plus the
/// travel to its zone. Expected load is the own calls in flight plus what others contributed to the newest load report,
/// which tends to the mean of all endpoints within about one service time. Calls that end must be reported by exactly
/// one of `on_answer`, `on_refused`, `on_failed` and `on_cancelled`. Events of unknown endpoints are ignored.
class router
{
  public:
    class builder;

    /// @brief Replaces the list of endpoints; the state of endpoints that remain in the same incarnation is kept.
    /// @param[in] endpoints the endpoints of the service, or the subset to which the node keeps connections
    /// @param[in] now       reading of the clock; endpoints that join after the first list are ramped up from it
    void set_endpoints(std::vector<endpoint> endpoints, core::time_point now);

    /// @brief Chooses an endpoint; takes time in proportion to the number of endpoints and does not allocate.
    /// @param[in] request the request
    /// @param[in] now     reading of the clock
    /// @param[in] random  source of randomness
    /// @return the choice, or nothing when no endpoint is left; `why_none` tells the reason
    [[nodiscard]] std::optional<choice> pick(const pick_request& request, core::time_point now,
                                             std::mt19937_64& random);

    /// @brief Finds the endpoint with the least expected wait and uses up nothing.
    ///
    /// A receiver names it as the better placed peer on a refusal.
    /// @param[in] request endpoints to leave out, among them the receiver itself
    /// @param[in] now     reading of the clock
    /// @return the endpoint, or nothing when no unmarked endpoint with a report is left
    [[nodiscard]] std::optional<choice> best_peer(const pick_request& request, core::time_point now) const;

    /// @brief Tells whether an idle hint of this node's own endpoint is worth its cost.
    ///
    /// A hint helps only when the other endpoints are busier; how busy they must be follows from the two weights.
    /// @param[in] own load of the own endpoint
    /// @param[in] now reading of the clock
    /// @return whether the endpoint has a free slot that others lack
    [[nodiscard]] bool is_hint_useful(const core::load_report& own, core::time_point now) const noexcept;

    /// @brief A refused call was told that an endpoint is better placed; the endpoint counts as more loaded for a
    /// while.
    void on_redirected(std::string_view id, core::time_point now);

    /// @return why `pick` finds no endpoint for a request
    [[nodiscard]] std::error_code why_none(const pick_request& request) const noexcept;

    /// @brief Chooses the endpoint whose load should be asked for by a message, if any report is too old.
    ///
    /// The sender of the message asks its measuring budget first.
    /// @param[in] now reading of the clock
    /// @return the endpoint, or nothing
    [[nodiscard]] std::shared_ptr<const endpoint> next_probe(core::time_point now);

    /// @brief A call was sent to an endpoint.
    void on_sent(std::string_view id, core::time_point now);

    /// @brief A call was answered.
    /// @param[in] id      the endpoint
    /// @param[in] report  load on the answer, or nothing
    /// @param[in] latency time from sending to the end of the answer
    /// @param[in] now     reading of the clock
    void on_answer(std::string_view id, const std::optional<core::load_report>& report, core::duration latency,
                   core::time_point now);

    /// @brief A call was refused before dispatch.
    void on_refused(std::string_view id, const std::optional<core::load_report>& report, core::time_point now);

    /// @brief A call failed without an answer: the endpoint is avoided for a back-off.
    void on_failed(std::string_view id, core::time_point now);

    /// @brief A call was withdrawn by the sender.
    void on_cancelled(std::string_view id, core::time_point now);

    /// @brief A load report arrived without a call.
    void on_report(std::string_view id, const core::load_report& report, core::time_point now);

    /// @brief An endpoint's VM has changed its speed; unlike a report this says nothing of the endpoint's load.
    void on_speed(std::string_view id, std::uint32_t slowdown_percent, core::time_point now);

    /// @brief An endpoint announces free slots.
    void on_idle_hint(std::string_view id, std::uint32_t free_slots, core::time_point now);

    /// @return the newest load report of an endpoint, with its age; nothing for an unknown endpoint
    [[nodiscard]] std::optional<report_view> report_of(std::string_view id, core::time_point now) const;

    /// @return whether an endpoint is marked as a straggler
    [[nodiscard]] bool is_marked(std::string_view id, core::time_point now) const;

    /// @return the number of endpoints
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->states.size();
    }

  private:
    using state = detail::endpoint_state;

    explicit router(router_settings value);

    [[nodiscard]] state* find(std::string_view id) noexcept;
    [[nodiscard]] state make_state(std::shared_ptr<const endpoint> target, core::time_point now) const;
    [[nodiscard]] double slots_of(const state& value, core::time_point now) const noexcept;
    [[nodiscard]] double service_time_of(const state& value) const noexcept;
    [[nodiscard]] double remaining(core::duration age, const state& value) const noexcept;
    [[nodiscard]] double redirected_to(const state& value, core::time_point now) const noexcept;
    [[nodiscard]] double load_of(const state& value, core::time_point now) const noexcept;
    [[nodiscard]] double score_of(const state& value, core::time_point now) const noexcept;
    [[nodiscard]] double slowdown_of(const state& value, core::time_point now) const noexcept;
    [[nodiscard]] double travel_of(const state& value) const noexcept;
    [[nodiscard]] core::duration wait_of(const state& value, core::time_point now) const noexcept;
    [[nodiscard]] bool collect(const pick_request& request, core::time_point now, bool with_marked, bool with_failed);
    [[nodiscard]] state& best_candidate(core::time_point now, std::mt19937_64& random);
    [[nodiscard]] state* due_trial(core::time_point now);
    void take_report(state& value, const core::load_report& report, core::time_point now);
    void lower_trust(state& value, core::time_point now) noexcept;
    void update_typical() noexcept;
    void update_mark(state& value, core::time_point now);
    void end_trial(state& value, core::duration latency, core::time_point now);
    [[nodiscard]] double straggler_factor() const noexcept;
    [[nodiscard]] double median_service_time();
    [[nodiscard]] double median_latency(core::time_point now);
    template <typename measure>
    [[nodiscard]] double median(measure of);

    router_settings settings;
    double preference;             // of tail latency, from 0 to 1
    double typical_load{0.0};      // of other senders, per slot, mean of the newest reports
    double mean_service_time{0.0}; // in nanoseconds, mean of the newest reports
    bool has_list{false};
    std::vector<state> states; // sorted by id
    std::vector<state*> candidates;
    std::vector<double> scratch;
};

/// @brief Builds a router.
class router::builder
{
  public:
    /// @param[in] zone zone of the node itself
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

    /// @param[in] value part of its slots by which an endpoint in the own zone may be busier than another one
    builder& zone_preference(double value) noexcept
    {
        this->settings.zone_preference = value;
        return *this;
    }

    /// @brief Compares all endpoints for each call instead of two at random.
    builder& compare_all(bool value) noexcept
    {
        this->settings.compares_all = value;
        return *this;
    }

    /// @brief Sets the two weights; only their ratio matters.
    /// @param[in] tail_latency   weight of low tail latency: stragglers are marked sooner, load is asked for more often
    /// @param[in] measuring_cost weight of a low cost of measuring
    builder& weights(double tail_latency, double measuring_cost) noexcept
    {
        this->settings.tail_latency_weight = tail_latency;
        this->settings.measuring_cost_weight = measuring_cost;
        return *this;
    }

    /// @param[in] value an idle hint is valid this long
    builder& hint_lifetime(core::duration value) noexcept
    {
        this->settings.hint_lifetime = value;
        return *this;
    }

    /// @param[in] mark  first length of a straggler mark
    /// @param[in] trial time between calls that probe a marked straggler
    builder& straggler(core::duration mark, core::duration trial) noexcept
    {
        this->settings.straggler_mark = mark;
        this->settings.straggler_trial = trial;
        return *this;
    }

    /// @param[in] value first back-off after a failure
    builder& failure_back_off(core::duration value) noexcept
    {
        this->settings.failure_back_off = value;
        return *this;
    }

    /// @param[in] value time in which a new endpoint gets its full part
    builder& cold_start_ramp(core::duration value) noexcept
    {
        this->settings.cold_start_ramp = value;
        return *this;
    }

    /// @param[in] slots        slots of an endpoint that has not reported yet
    /// @param[in] service_time its service time
    builder& assumed(std::uint32_t slots, core::duration service_time) noexcept
    {
        this->settings.assumed_slots = slots;
        this->settings.assumed_service_time = service_time;
        return *this;
    }

    /// @return the router, without endpoints
    /// @throw std::invalid_argument when a time or a weight is negative, both weights are zero, or the assumed slots
    ///        or the assumed service time is zero
    [[nodiscard]] router build() const
    {
        return router{this->settings};
    }

  private:
    router_settings settings;
};

} // namespace poplarport::routing
