#include "poplarport/settings/rules.hpp"

#include <charconv> // from_chars
#include <cmath>    // llround

namespace poplarport::settings
{

std::optional<std::chrono::milliseconds> parse_duration(std::string_view text)
{
    constexpr double milliseconds_per_second = 1000.0;
    constexpr double max_number = 1e9; // in either unit; far below the limit of std::llround
    double number = 0.0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
    if (error != std::errc{} || (unit != "ms" && unit != "s"))
    {
        return std::nullopt;
    }
    const double factor = unit == "s" ? milliseconds_per_second : 1.0;
    if (!(number >= 0.0) || number > max_number)
    {
        return std::nullopt;
    }
    return std::chrono::milliseconds{std::llround(number * factor)};
}

} // namespace poplarport::settings
