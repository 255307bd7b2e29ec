#pragma once

#include <cstdint> // uint64_t
#include <string>  // string

#include <nlohmann/json.hpp>

#include "prove_system.hpp"

namespace poplarport::test
{

/// @return the JSON of an administration or control address, null when there was no answer
[[nodiscard]] nlohmann::json get_json(const std::string& address, const std::string& target);

/// @return the JSON status of a node
[[nodiscard]] nlohmann::json status_of(prove_system& system, const std::string& node);

/// @return the version of the service `orders` that is in force on a node, zero for none
[[nodiscard]] std::uint64_t version_of(prove_system& system, const std::string& node);

/// @return number of live members of its service that a node lists, zero without an answer
[[nodiscard]] std::size_t members_of(prove_system& system, const std::string& node);

/// @brief Starts a fault of the platform stand-in.
/// @throw std::runtime_error when the fault is not taken
void start_platform_fault(const prove_system& system, const nlohmann::json& fault);

/// @brief Ends all faults of the platform stand-in.
void clear_platform_faults(const prove_system& system);

/// @return a counter of the platform stand-in
[[nodiscard]] std::uint64_t platform_counter(const prove_system& system, const std::string& name);

/// @return `PREFIX1` to `PREFIXn`
[[nodiscard]] string_list numbered(const std::string& prefix, std::size_t count);

} // namespace poplarport::test
