#include "poplarport/manifest/credential.hpp"

#include <algorithm> // ranges::all_of, ranges::copy

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include "poplarport/manifest/errors.hpp"
#include "poplarport/tenants/digest.hpp"

namespace poplarport::manifest
{
namespace
{

constexpr std::string_view scheme = "sha256:";
constexpr std::size_t new_salt_bytes = 16;
constexpr std::size_t min_salt_bytes = 8;
constexpr std::size_t max_salt_bytes = 64;

std::string to_hex(const std::uint8_t* bytes, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (std::size_t index = 0; index < size; ++index)
    {
        text += digits[bytes[index] >> 4U];
        text += digits[bytes[index] & 0xfU];
    }
    return text;
}

std::optional<std::uint8_t> hex_value(char digit) noexcept
{
    if (digit >= '0' && digit <= '9')
    {
        return static_cast<std::uint8_t>(digit - '0');
    }
    if (digit >= 'a' && digit <= 'f')
    {
        return static_cast<std::uint8_t>(digit - 'a' + 10);
    }
    return std::nullopt;
}

std::optional<std::string> from_hex(std::string_view text)
{
    if (text.size() % 2 != 0)
    {
        return std::nullopt;
    }
    std::string bytes;
    for (std::size_t index = 0; index < text.size(); index += 2)
    {
        const auto high = hex_value(text[index]);
        const auto low = hex_value(text[index + 1]);
        if (!high.has_value() || !low.has_value())
        {
            return std::nullopt;
        }
        bytes += static_cast<char>((*high << 4U) | *low);
    }
    return bytes;
}

bool is_strong(std::string_view secret) noexcept
{
    const auto is_printable = [](char character)
    {
        return character > ' ' && character <= '~';
    };
    return secret.size() >= min_secret_bytes && secret.size() <= max_secret_bytes &&
           std::ranges::all_of(secret, is_printable);
}

} // namespace

std::optional<credential_hash> hash_secret(std::string_view secret, std::error_code& error)
{
    error.clear();
    if (!is_strong(secret))
    {
        error = errc::weak_secret;
        return std::nullopt;
    }
    std::array<std::uint8_t, new_salt_bytes> salt{};
    if (RAND_bytes(salt.data(), static_cast<int>(salt.size())) != 1)
    {
        error = errc::random_unavailable;
        return std::nullopt;
    }
    credential_hash hash;
    hash.salt.assign(salt.begin(), salt.end());
    hash.digest = tenants::digest_of(hash.salt, secret);
    return hash;
}

bool matches(const credential_hash& hash, std::string_view secret) noexcept
{
    if (secret.size() > max_secret_bytes)
    {
        return false;
    }
    const auto digest = tenants::digest_of(hash.salt, secret);
    return CRYPTO_memcmp(digest.data(), hash.digest.data(), digest.size()) == 0;
}

std::string to_string(const credential_hash& hash)
{
    const std::array<std::uint8_t, max_salt_bytes> empty{};
    std::string text{scheme};
    const auto* salt = hash.salt.empty() ? empty.data() : reinterpret_cast<const std::uint8_t*>(hash.salt.data());
    text += to_hex(salt, hash.salt.size());
    text += ":";
    text += to_hex(hash.digest.data(), hash.digest.size());
    return text;
}

std::optional<credential_hash> parse_credential_hash(std::string_view text)
{
    if (!text.starts_with(scheme))
    {
        return std::nullopt;
    }
    text.remove_prefix(scheme.size());
    const auto colon = text.find(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    const auto salt = from_hex(text.substr(0, colon));
    const auto digest = from_hex(text.substr(colon + 1));
    if (!salt.has_value() || !digest.has_value() || digest->size() != tenants::digest_bytes ||
        salt->size() < min_salt_bytes || salt->size() > max_salt_bytes)
    {
        return std::nullopt;
    }
    credential_hash hash{*salt, {}};
    std::ranges::copy(*digest, hash.digest.begin());
    return hash;
}

} // namespace poplarport::manifest
