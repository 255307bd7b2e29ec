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

/// @brief Form of the results.
enum class output_form
{
    table,
    json,
    markdown
};

/// @brief Options that the commands share.
struct options
{
    output_form output{output_form::table};
    std::optional<core::socket_address> platform{};  ///< address of the object API
    std::vector<core::socket_address> nodes{};       ///< administration addresses
    std::string change_id{};                         ///< id of the change; empty for a random one
    std::map<std::string, core::version> based_on{}; ///< versions that the operator saw, by service
    std::chrono::seconds timeout{30};                ///< limit of a command
    bool is_all{false};                              ///< `explain --all`
};

/// @brief Checks a manifest.
[[nodiscard]] exit_status check(const options& chosen, const std::string& file, const streams& io);

/// @brief Shows what `apply` would change.
[[nodiscard]] exit_status diff(const options& chosen, const std::string& file, const streams& io);

/// @brief Applies a manifest, one conditional update for each service.
[[nodiscard]] exit_status apply(const options& chosen, const std::string& file, const streams& io);

/// @brief Shows the versions on the platform and the status of nodes.
[[nodiscard]] exit_status show_status(const options& chosen, const streams& io);

/// @brief Starts a planned stop of a node.
[[nodiscard]] exit_status drain(const options& chosen, const std::string& node, const streams& io);

/// @brief Explains a result code, or all of them.
[[nodiscard]] exit_status explain(const options& chosen, const std::string& code, const streams& io);

/// @brief Hashes the secret on standard input.
[[nodiscard]] exit_status hash_secret(const options& chosen, const streams& io);

/// @brief Writes rows as columns of equal width; the first row is the heading.
void write_table(std::ostream& out, const std::vector<std::vector<std::string>>& rows);

} // namespace poplarport::poplarctl
