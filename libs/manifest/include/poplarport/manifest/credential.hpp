#pragma once

#include <cstddef>      // size_t
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/tenants/digest.hpp"

namespace poplarport::manifest
{

/// @brief Minimum length of a secret; a random secret of this length cannot be guessed from its hash.
inline constexpr std::size_t min_secret_bytes = 16;

/// @brief Maximum length of a secret that is hashed or compared; bounds the processor time that a caller can cause.
inline constexpr std::size_t max_secret_bytes = 256;

/// @brief Salted hash of a tenant's secret: SHA-256 of the salt followed by the secret.
///
/// Secrets are long and random, so one round is sufficient; a slow hash would cost processor time on each call.
struct credential_hash
{
    std::string salt;         ///< raw bytes
    tenants::digest digest{}; ///< SHA-256

    bool operator==(const credential_hash&) const = default;
};

/// @brief Hashes a secret with a new random salt.
/// @param[in]  secret secret, 16 to 256 printable characters
/// @param[out] error  `weak_secret` or `random_unavailable`; cleared on success
/// @return the hash, or nothing on error
[[nodiscard]] std::optional<credential_hash> hash_secret(std::string_view secret, std::error_code& error);

/// @return whether a secret matches a hash; the digests are compared in constant time
[[nodiscard]] bool matches(const credential_hash& hash, std::string_view secret) noexcept;

/// @return the hash as `sha256:SALT:DIGEST`, with salt and digest in lower-case hexadecimal
[[nodiscard]] std::string to_string(const credential_hash& hash);

/// @brief Parses the format of to_string().
/// @return the hash, or nothing if the text is malformed, the salt is not 8 to 64 bytes or the digest not 32
[[nodiscard]] std::optional<credential_hash> parse_credential_hash(std::string_view text);

} // namespace poplarport::manifest
