#pragma once

#include <optional>    // optional
#include <string_view> // string_view

namespace poplarport::core
{

/// @brief How an attempt, or a whole call, ended.
enum class outcome
{
    answered, ///< the complete response arrived
    not_run,  ///< there is proof that no upstream ran the request
    unknown   ///< the request was sent, and whether it ran is not proved
};

/// @brief Returns the name used in header fields, logs and ledgers.
[[nodiscard]] constexpr std::string_view to_string(outcome value) noexcept
{
    switch (value)
    {
    case outcome::answered:
        return "answered";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        break;
    }
    return "unknown";
}

/// @brief Parses the name of an outcome.
/// @return the outcome, or nothing for any other text
[[nodiscard]] constexpr std::optional<outcome> outcome_from_string(std::string_view text) noexcept
{
    for (const auto candidate : {outcome::answered, outcome::not_run, outcome::unknown})
    {
        if (text == to_string(candidate))
        {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace poplarport::core
