#pragma once

#include <cstdint>     // uint64_t
#include <optional>    // optional
#include <string_view> // string_view

#include "poplarport/core/ids.hpp"

namespace poplarport::configuration
{

/// Field of the platform's responses that states its era.
inline constexpr std::string_view era_field = "object-era";

/// @param[in] field value of `era_field`
/// @return the era, or nothing if the value is not a number
[[nodiscard]] std::optional<std::uint64_t> parse_era(std::string_view field) noexcept;

/// @brief Version of a platform object as nodes and operators compare it.
///
/// The platform gives revisions out again after it has come back from an older copy. The version counts the restores,
/// too, so that every version after a restore is higher than all versions before. Before the first restore it equals
/// the revision.
/// @param[in] era      as the platform states it, one before the first restore; zero if it states none
/// @param[in] revision version that the platform gives the object; zero for an object that does not exist
[[nodiscard]] core::version make_stored_version(std::uint64_t era, std::uint64_t revision) noexcept;

/// @return the version as the platform gives it
[[nodiscard]] std::uint64_t revision_of(core::version version) noexcept;

/// @return the number of restores before the version was written or read
[[nodiscard]] std::uint64_t restores_before(core::version version) noexcept;

} // namespace poplarport::configuration
