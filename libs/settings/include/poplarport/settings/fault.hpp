#pragma once

#include <cstdint>      // uint32_t
#include <string>       // string
#include <system_error> // error_code
#include <vector>       // vector

namespace poplarport::settings
{

/// @brief One fault of a file, with everything that an operator needs to correct it.
struct fault
{
    std::string file;      ///< path as given
    std::uint32_t line{0}; ///< line of the value or of its table, from 1; 0 when the file has no lines
    std::string key;       ///< full key, for example `services[0].upstream.slots`
    std::error_code code;  ///< the result code
    std::string found;     ///< what the file holds
    std::string allowed;   ///< what is allowed

    bool operator==(const fault&) const = default;
};

/// @brief Formats a fault as `FILE:LINE: KEY: found X; allowed: Y (CATEGORY NUMBER)`.
[[nodiscard]] std::string to_string(const fault& value);

/// @brief Formats faults, one a line.
[[nodiscard]] std::string to_string(const std::vector<fault>& values);

} // namespace poplarport::settings
