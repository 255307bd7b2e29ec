#include "poplarport/tenants/digest.hpp"

#include <charconv> // from_chars

#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace poplarport::tenants
{

digest digest_of(std::string_view salt, std::string_view secret)
{
    std::string input{salt};
    input.append(secret);
    digest result{};
    // Fails only if memory is exhausted; the digest then remains zero, which matches no stored digest.
    EVP_Digest(input.data(), input.size(), result.data(), nullptr, EVP_sha256(), nullptr);
    OPENSSL_cleanse(input.data(), input.size());
    return result;
}

bool is_equal(const digest& left, const digest& right) noexcept
{
    return CRYPTO_memcmp(left.data(), right.data(), digest_bytes) == 0;
}

std::string to_string(const digest& value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    for (const auto byte : value)
    {
        result += digits[byte >> 4U];
        result += digits[byte & 0xfU];
    }
    return result;
}

std::optional<digest> parse_digest(std::string_view text)
{
    constexpr int base = 16;
    digest result{};
    if (text.size() != 2 * digest_bytes || text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
    {
        return std::nullopt;
    }
    for (std::size_t index = 0; index < digest_bytes; ++index)
    {
        const auto* const digits = text.data() + 2 * index;
        std::from_chars(digits, digits + 2, result[index], base);
    }
    return result;
}

} // namespace poplarport::tenants
