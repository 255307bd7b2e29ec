#pragma once

#include <chrono>   // seconds
#include <cstddef>  // size_t
#include <map>      // map
#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include "poplarctl.hpp"
#include "poplarport/core/ids.hpp"
#include "poplarport/core/socket_address.hpp"
#include "poplarport/settings/exit_status.hpp"

namespace poplarport::poplarctl
{

using settings::exit_status;

/// @brief Output format of the results.
enum class output_format
{
    table,
    json,
    markdown
};

/// @brief Options of the command line, shared by all commands.
struct command_options
{
    output_format output{output_format::table};
    std::optional<core::socket_address> platform{};  ///< address of the object API
    std::vector<core::socket_address> nodes{};       ///< administration addresses
    std::string change_id{};                         ///< id of the change; empty for a random one
    std::map<std::string, core::version> based_on{}; ///< version on which the operator based the change, by service
    std::chrono::seconds timeout{30};                ///< time limit of `apply`
    bool explains_all_codes{false};                  ///< `explain --all`
};

/// @brief Validates a manifest.
[[nodiscard]] exit_status check(const command_options& options, const std::string& file, const streams& io);

/// @brief Shows the changes that `apply` would make.
[[nodiscard]] exit_status diff(const command_options& options, const std::string& file, const streams& io);

/// @brief Applies a manifest with one conditional update for each service.
[[nodiscard]] exit_status apply(const command_options& options, const std::string& file, const streams& io);

/// @brief Shows the service versions stored on the platform and the status of nodes.
[[nodiscard]] exit_status show_status(const command_options& options, const streams& io);

/// @brief Drains a node for a planned stop.
[[nodiscard]] exit_status drain(const command_options& options, const std::string& node, const streams& io);

/// @brief Explains one result code, or all.
[[nodiscard]] exit_status explain(const command_options& options, const std::string& code, const streams& io);

/// @brief Hashes the secret read from standard input.
[[nodiscard]] exit_status hash_secret(const command_options& options, const streams& io);

/// @brief Writes rows as an aligned table; the first row is the heading.
void write_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows);

} // namespace poplarport::poplarctl
