#pragma once

#include <array>       // array
#include <cstddef>     // size_t
#include <cstdint>     // uint8_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::tenants
{

/// @brief Length of a SHA-256 digest.
inline constexpr std::size_t digest_bytes = 32;

/// @brief SHA-256 digest of a secret. Secrets are long and random, so one round is sufficient.
using digest = std::array<std::uint8_t, digest_bytes>;

/// @return the digest of a salt, which may be empty, followed by a secret
[[nodiscard]] digest digest_of(std::string_view salt, std::string_view secret);

/// @return whether two digests are equal; the time taken does not depend on where they differ
[[nodiscard]] bool is_equal(const digest& left, const digest& right) noexcept;

/// @return a digest in lower-case hexadecimal
[[nodiscard]] std::string to_string(const digest& value);

/// @return the digest in the format of to_string(), or nothing if the text is malformed
[[nodiscard]] std::optional<digest> parse_digest(std::string_view text);

} // namespace poplarport::tenants
