#pragma once

#include <chrono>      // milliseconds
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <filesystem>  // path
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include "poplarport/core/socket_address.hpp"

namespace poplarport::load
{

/// @brief How arrivals are spread over a phase.
enum class arrival_process
{
    constant, ///< equal gaps
    poisson   ///< exponential gaps
};

/// @brief How a call's target is chosen.
enum class target_choice
{
    round_robin,
    by_key ///< by a hash of the call's key
};

/// @brief A range of sizes in bytes, both ends included.
struct size_range
{
    std::size_t least{0};
    std::size_t most{0};
};

/// @brief Part of an experiment with one rate.
struct phase
{
    std::string name{"load"};
    std::chrono::milliseconds length{10'000};
    double calls_per_second{100.0};
    arrival_process arrivals{arrival_process::poisson};
};

/// @brief A tenant and its credentials.
struct tenant
{
    std::string name{};
    std::string secret{};
    double weight{1.0}; ///< share of the calls, relative to the other tenants
};

/// @brief A kind of call.
struct call_kind
{
    std::string method{"GET"};
    std::string path{"/quotes"}; ///< the call's number is appended
    bool repeatable{true};
    double weight{1.0}; ///< share of the calls, relative to the other kinds
    size_range request_bytes{};
    size_range answer_bytes{128, 128};

    /// @return method and path, the kind's name in reports
    [[nodiscard]] std::string name() const
    {
        return this->method + " " + this->path;
    }
};

/// @brief Everything that determines a run of the load tool.
struct plan
{
    std::string name{"load"}; ///< beginning of the keys; two runs that share an upstream need different names
    std::uint64_t seed{1};
    std::vector<core::socket_address> targets{};
    target_choice choice{target_choice::round_robin};
    std::string service{}; ///< sent as Host and Poplar-Service unless empty
    std::vector<tenant> tenants{};
    std::vector<call_kind> calls{};
    std::vector<phase> phases{};
    std::optional<std::chrono::milliseconds> deadline{}; ///< from the scheduled time, sent as Poplar-Deadline-Ms
    std::chrono::milliseconds timeout{10'000};           ///< from the scheduled time; then the call is given up
    std::size_t connections{64};                         ///< connections to each target
};

/// @brief Reads a plan from TOML; keys that it does not name keep the values of the given plan.
/// @param[in] text     content of the file
/// @param[in] file     name of the file, for messages
/// @param[in] defaults values of the keys that are absent
/// @throw std::invalid_argument with all faults, a line each
[[nodiscard]] plan read_plan(std::string_view text, const std::string& file, const plan& defaults);

/// @brief Checks a plan as a whole.
/// @return the faults, empty when there is none
[[nodiscard]] std::vector<std::string> check(const plan& values);

/// @brief Parses `constant` or `poisson`.
[[nodiscard]] std::optional<arrival_process> arrival_process_from_string(std::string_view text);

/// @brief Parses `round_robin` or `by_key`.
[[nodiscard]] std::optional<target_choice> target_choice_from_string(std::string_view text);

} // namespace poplarport::load
