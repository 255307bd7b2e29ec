#pragma once

#include <array>        // array
#include <cstddef>      // size_t
#include <cstdint>      // uint8_t
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code

namespace poplarport::manifest
{

/// @brief Length of a SHA-256 digest.
inline constexpr std::size_t digest_bytes = 32;

/// @brief Shortest secret that is hashed; a random secret of this length cannot be guessed from its hash.
inline constexpr std::size_t shortest_secret_bytes = 16;

/// @brief Longest secret that is hashed or compared; bounds the work that a caller can cause.
inline constexpr std::size_t longest_secret_bytes = 256;

/// @brief Salted hash of a tenant's secret: SHA-256 over the salt followed by the secret.
///
/// The secrets are random and long, so a single round is sufficient; a slow hash would cost processor time per call.
struct credential_hash
{
    std::string salt;                                ///< salt, raw bytes
    std::array<std::uint8_t, digest_bytes> digest{}; ///< SHA-256

    bool operator==(const credential_hash&) const = default;
};

/// @brief Hashes a secret with a new random salt.
/// @param[in]  secret secret, 16 to 256 printable characters
/// @param[out] error  `weak_secret` or `random_unavailable`, else cleared
/// @return the hash, or nothing on error
[[nodiscard]] std::optional<credential_hash> hash_secret(std::string_view secret, std::error_code& error);

/// @brief Compares a secret with a hash; the time does not depend on where the digests differ.
[[nodiscard]] bool matches(const credential_hash& hash, std::string_view secret) noexcept;

/// @brief Formats a hash as `sha256:SALT:DIGEST`, both in lower-case hexadecimal digits.
[[nodiscard]] std::string to_string(const credential_hash& hash);

/// @brief Parses the text form.
/// @return the hash, or nothing unless the salt has 8 to 64 bytes and the digest 32
[[nodiscard]] std::optional<credential_hash> parse_credential_hash(std::string_view text);

} // namespace poplarport::manifest
