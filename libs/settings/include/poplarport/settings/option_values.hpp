#pragma once

#include <optional> // optional
#include <string>   // string

#include <cxxopts.hpp>

#include "poplarport/core/socket_address.hpp"

namespace poplarport::settings
{

/// @brief Reads an option that holds an address.
/// @param[in] parsed command line
/// @param[in] name   name of the option
/// @return the address, or nothing when the option is absent and has no default
/// @throw std::invalid_argument when the value is not an IP number with a port
[[nodiscard]] std::optional<core::socket_address> optional_address(const cxxopts::ParseResult& parsed,
                                                                   const std::string& name);

/// @brief Reads an option that must hold an address.
/// @throw std::invalid_argument when the option is absent or its value is not an IP number with a port
[[nodiscard]] core::socket_address required_address(const cxxopts::ParseResult& parsed, const std::string& name);

} // namespace poplarport::settings
