#pragma once

#include <chrono>  // microseconds, milliseconds, nanoseconds
#include <cstdint> // uint64_t

#include "poplarport/core/time.hpp"

namespace poplarport::measuring
{

/// @brief Resources used by load measurement.
struct resource_usage
{
    std::uint64_t bytes{0};                     ///< bytes on the network
    std::chrono::nanoseconds processor_time{0}; ///< processor time

    bool operator==(const resource_usage&) const = default;
};

/// @brief Limit on the resources used by load measurement.
struct allowance
{
    resource_usage per_window;          ///< granted in each window
    std::chrono::nanoseconds window{0}; ///< length of the window
    std::chrono::nanoseconds burst{0};  ///< the bucket holds at most the grant of this span

    bool operator==(const allowance&) const = default;
};

/// @brief Token bucket for the cost of load measurement, in bytes and processor time.
///
/// The bucket starts empty and refills continuously. Within any span of length L, at most the grant of L plus one
/// burst is spent. A forward jump of the clock, as after a process freeze, grants at most one burst.
class budget
{
  public:
    class builder;

    /// @brief Spends both the bytes and the processor time, or neither.
    /// @param[in] bytes          bytes on the network
    /// @param[in] processor_time processor time to spend
    /// @param[in] now            current time; a time before the previous one grants nothing
    /// @return whether the expense is granted; an expense above one burst never is
    [[nodiscard]] bool try_spend(std::uint64_t bytes, std::chrono::nanoseconds processor_time,
                                 core::time_point now) noexcept;

    /// @return the total of the granted expenses since construction
    [[nodiscard]] const resource_usage& spent() const noexcept
    {
        return this->total_spent;
    }

    /// @return the number of refused expenses since construction
    [[nodiscard]] std::uint64_t refused() const noexcept
    {
        return this->refusal_count;
    }

    /// @return the current allowance
    [[nodiscard]] const allowance& limit() const noexcept
    {
        return this->active_allowance;
    }

    /// @brief Replaces the allowance; the grant saved under the old one is discarded.
    /// @param[in] new_allowance the new allowance
    /// @param[in] now           current time
    /// @throw std::invalid_argument if the window is not positive, or the burst or the processor time is negative
    void set_limit(const allowance& new_allowance, core::time_point now);

  private:
    budget(const allowance& initial_allowance, core::time_point now);

    allowance active_allowance;
    resource_usage total_spent;
    std::uint64_t refusal_count{0};
    // The bytes and the processor time are each stored as the instant up to which their grant is spent. Rounding up to
    // whole nanoseconds cannot accumulate into overspending, as rounding fractional tokens could.
    core::time_point bytes_spent_until;
    core::time_point processor_spent_until;
};

/// @brief Collects the allowances and settings of a budget and creates it.
class budget::builder
{
  public:
    /// @param[in] count bytes granted per window
    builder& bytes(std::uint64_t count) noexcept
    {
        this->settings.per_window.bytes = count;
        return *this;
    }

    /// @param[in] duration processor time granted per window
    builder& processor_time(std::chrono::nanoseconds duration) noexcept
    {
        this->settings.per_window.processor_time = duration;
        return *this;
    }

    /// @param[in] length length of the window
    builder& window(std::chrono::nanoseconds length) noexcept
    {
        this->settings.window = length;
        return *this;
    }

    /// @param[in] span span whose grant the bucket holds at most
    builder& burst(std::chrono::nanoseconds span) noexcept
    {
        this->settings.burst = span;
        return *this;
    }

    /// @param[in] now current time; the bucket is empty at this instant
    /// @throw std::invalid_argument if the window is not positive, or the burst or the processor time is negative
    [[nodiscard]] budget build(core::time_point now) const
    {
        return budget{this->settings, now};
    }

  private:
    allowance settings{{0, std::chrono::nanoseconds{0}}, std::chrono::seconds{1}, std::chrono::milliseconds{100}};
};

} // namespace poplarport::measuring
