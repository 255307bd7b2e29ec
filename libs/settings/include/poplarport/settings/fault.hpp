#pragma once

#include <cstdint>      // uint32_t
#include <string>       // string
#include <system_error> // error_code
#include <vector>       // vector

namespace poplarport::settings
{

/// @brief One fault of a file, with the details that an operator needs to correct it.
struct fault
{
    std::string file;      ///< path as passed by the user, or name of the document
    std::uint32_t line{0}; ///< line of the value or of its table, from 1; 0 if the fault has no line
    std::string key;       ///< full key, for example `services[0].upstream.slots`
    std::error_code code;  ///< result code
    std::string found;     ///< value in the file
    std::string allowed;   ///< description of the allowed values

    bool operator==(const fault&) const = default;
};

/// @return the fault as `FILE:LINE: KEY: found X; allowed: Y (CATEGORY NUMBER)`
[[nodiscard]] std::string to_string(const fault& reported_fault);

/// @return the faults, one per line
[[nodiscard]] std::string to_string(const std::vector<fault>& faults);

} // namespace poplarport::settings
