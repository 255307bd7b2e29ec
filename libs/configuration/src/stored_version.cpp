#include "poplarport/configuration/stored_version.hpp"

#include <charconv>     // from_chars
#include <system_error> // errc

namespace poplarport::configuration
{

namespace
{

// Numbers of versions stay exact in JSON, up to 8,191 restores.
constexpr unsigned revision_bits = 40;
constexpr std::uint64_t revision_mask = (std::uint64_t{1} << revision_bits) - 1;

} // namespace

std::optional<std::uint64_t> parse_era(std::string_view field) noexcept
{
    std::uint64_t era = 0;
    const auto* const last = field.data() + field.size();
    const auto parsed = std::from_chars(field.data(), last, era);
    const bool is_number = !field.empty() && parsed.ec == std::errc{} && parsed.ptr == last;
    return is_number ? std::optional{era} : std::nullopt;
}

core::version make_stored_version(std::uint64_t era, std::uint64_t revision) noexcept
{
    const auto restores = era > 0 && revision > 0 ? era - 1 : 0;
    return (restores << revision_bits) | (revision & revision_mask);
}

std::uint64_t revision_of(core::version version) noexcept
{
    return version & revision_mask;
}

std::uint64_t restores_before(core::version version) noexcept
{
    return version >> revision_bits;
}

} // namespace poplarport::configuration
