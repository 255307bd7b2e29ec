#pragma once

#include <optional> // optional

#include "poplarport/core/time.hpp"

namespace poplarport::registration
{

/// @brief What a service states about its cold upstreams.
struct cold_start_rules
{
    std::optional<double> requests_per_second{}; ///< that a cold upstream tolerates; empty if there is no limit
    core::duration max_cold_time{0};             ///< time for which an upstream is cold after its start

    bool operator==(const cold_start_rules&) const = default;
};

/// @brief Tracks whether an upstream is cold, and how many requests a second it may get.
///
/// After the cold time the limit doubles in steps before it ends, so that callers do not return all at once.
class cold_start
{
  public:
    /// @brief Applies the rules of the upstream's service.
    void apply(const cold_start_rules& new_rules)
    {
        this->rules = new_rules;
    }

    /// @brief Records what a response to a status check states, which replaces earlier statements.
    /// @param[in] remaining time for which the upstream stays cold, capped at the service's; zero if it is warm
    void on_status_check(core::duration remaining, core::time_point now);

    /// @brief Records what a heartbeat states. It may be late, so it only extends the cold time.
    void on_heartbeat(core::duration remaining, core::time_point now);

    /// @return whether the service limits its cold upstreams
    [[nodiscard]] bool has_limit() const noexcept
    {
        return this->rules.requests_per_second.has_value();
    }

    /// @return whether the upstream is cold
    [[nodiscard]] bool is_cold(core::time_point now) const noexcept
    {
        return this->has_limit() && now < this->cold_until;
    }

    /// @return requests per second that the upstream may get, warm-up included; empty for no limit
    [[nodiscard]] std::optional<double> limit(core::time_point now) const noexcept;

  private:
    [[nodiscard]] core::time_point end_of(core::duration remaining, core::time_point now) const;

    cold_start_rules rules{};
    core::time_point cold_until = core::time_point::min();
};

} // namespace poplarport::registration
