#pragma once

#include <cstdint> // uint64_t
#include <string>  // string

#include <nlohmann/json.hpp>

#include "prove_system.hpp"

namespace poplarport::test
{

/// @return JSON from an administration or control address; null when there was no response
[[nodiscard]] nlohmann::json get_json(const std::string& address, const std::string& target);

/// @return status of a node; null when there was no response
[[nodiscard]] nlohmann::json node_status(prove_system& system, const std::string& node);

/// @return active configuration version of the service `orders` on a node; zero when there is none
[[nodiscard]] std::uint64_t configuration_version(prove_system& system, const std::string& node);

/// @return number of live members of its service that a node lists; zero when there was no response
[[nodiscard]] std::size_t member_count(prove_system& system, const std::string& node);

/// @brief Starts a fault of the platform stand-in.
/// @throw std::runtime_error when the stand-in refuses the fault
void start_platform_fault(const prove_system& system, const nlohmann::json& fault);

/// @brief Clears all faults of the platform stand-in.
/// @throw std::runtime_error when the stand-in refuses
void clear_platform_faults(const prove_system& system);

/// @return value of a counter of the platform stand-in
[[nodiscard]] std::uint64_t platform_counter(const prove_system& system, const std::string& name);

/// @return `PREFIX1` to `PREFIXn` for n names
[[nodiscard]] string_list numbered_names(const std::string& prefix, std::size_t count);

} // namespace poplarport::test
