#pragma once

#include <optional> // optional
#include <string>   // string

#include <cxxopts.hpp>

#include "poplarport/core/socket_address.hpp"

namespace poplarport::settings
{

/// @brief Reads an optional command-line option whose value is an address.
/// @param[in] parsed parsed command line
/// @param[in] name   name of the option
/// @return the address, or nothing if the option is absent and has no default
/// @throw std::invalid_argument if the value is not an IP address with a port
[[nodiscard]] std::optional<core::socket_address> optional_address(const cxxopts::ParseResult& parsed,
                                                                   const std::string& name);

/// @brief Reads a required command-line option whose value is an address.
/// @throw std::invalid_argument if the option is absent or its value is not an IP address with a port
[[nodiscard]] core::socket_address required_address(const cxxopts::ParseResult& parsed, const std::string& name);

} // namespace poplarport::settings
