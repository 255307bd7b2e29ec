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

/// @brief Distribution of the arrivals within a phase.
enum class arrival_process
{
    constant, ///< equal inter-arrival times, the first call at the start of the phase
    poisson   ///< exponentially distributed inter-arrival times
};

/// @brief How the target of a call is selected.
enum class target_choice
{
    round_robin,
    by_key ///< by a hash of the key of the call
};

/// @brief An inclusive range of sizes in bytes.
struct size_range
{
    std::size_t min{0};
    std::size_t max{0};
};

/// @brief Phase of a run with a fixed call rate.
struct phase
{
    std::string name{"load"};
    std::chrono::milliseconds length{10'000};
    double calls_per_second{100.0};
    arrival_process arrivals{arrival_process::poisson};
};

/// @brief A tenant and its credential.
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
    std::string path{"/quotes"}; ///< the number of the call is appended
    bool repeatable{true};
    double weight{1.0}; ///< share of the calls, relative to the other kinds
    size_range request_bytes{};
    size_range response_bytes{128, 128};

    /// @return method and path, the name of the kind in reports
    [[nodiscard]] std::string name() const
    {
        return this->method + " " + this->path;
    }
};

/// @brief Parameters of a run of the load tool.
struct plan
{
    std::string name{"load"}; ///< prefix of the keys; runs that share an upstream need different names
    std::uint64_t seed{1};
    std::vector<core::socket_address> targets{};
    target_choice choice{target_choice::round_robin};
    std::string service{}; ///< sent as Host and Poplar-Service, unless empty
    std::vector<tenant> tenants{};
    std::vector<call_kind> calls{};
    std::vector<phase> phases{};
    std::optional<std::chrono::milliseconds> deadline{}; ///< from the scheduled time; sent as Poplar-Deadline-Ms
    std::chrono::milliseconds timeout{10'000};           ///< from the scheduled time; the call is abandoned after it
    std::size_t connections{64};                         ///< per target
};

/// @brief Reads a plan from TOML.
/// @param[in] text     TOML
/// @param[in] file     name of the file in error messages
/// @param[in] defaults plan that supplies the values of absent keys
/// @throw std::invalid_argument with all faults, one per line
[[nodiscard]] plan read_plan(std::string_view text, const std::string& file, const plan& defaults);

/// @brief Validates a plan as a whole.
/// @return the faults; empty if the plan is valid
[[nodiscard]] std::vector<std::string> check(const plan& checked);

/// @return the distribution named `constant` or `poisson`, or nothing for any other text
[[nodiscard]] std::optional<arrival_process> arrival_process_from_string(std::string_view text);

/// @return the selection named `round_robin` or `by_key`, or nothing for any other text
[[nodiscard]] std::optional<target_choice> target_choice_from_string(std::string_view text);

} // namespace poplarport::load
