#pragma once

#include <chrono>      // milliseconds
#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::settings
{

/// @brief Bounds of a number or a duration and, for an optional key, its default.
template <class T>
struct range
{
    T min;                       ///< minimum, inclusive
    T max;                       ///< maximum, inclusive
    std::optional<T> fallback{}; ///< default of an absent key; if empty, the key is required
};

/// @return the duration written as a number with the unit `ms` or `s`; nothing for any other text
[[nodiscard]] std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

/// @brief Rule for a string.
struct text_rule
{
    std::string allowed;                                ///< description for faults, for example "a host name"
    std::function<bool(std::string_view)> is_allowed{}; ///< predicate; if empty, any non-empty string is allowed
    std::optional<std::string> fallback{};              ///< default of an absent key; if empty, the key is required
};

} // namespace poplarport::settings
