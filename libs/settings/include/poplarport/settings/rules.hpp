#pragma once

#include <chrono>      // milliseconds
#include <functional>  // function
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::settings
{

/// @brief Bounds of a number or a duration and, for an optional key, its value when the key is absent.
template <class T>
struct range
{
    T least;                     ///< smallest allowed value
    T greatest;                  ///< greatest allowed value
    std::optional<T> fallback{}; ///< value of an absent key; without it the key is required
};

/// @return the time in a text of a number and its unit, `ms` or `s`; nothing for any other text
[[nodiscard]] std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

/// @brief Rule for a text.
struct text_rule
{
    std::string allowed;                                ///< description for faults, for example "a host name"
    std::function<bool(std::string_view)> is_allowed{}; ///< test of the text; without it any text that is not empty
    std::optional<std::string> fallback{};              ///< value of an absent key; without it the key is required
};

} // namespace poplarport::settings
