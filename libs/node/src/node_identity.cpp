#include "poplarport/node/node_identity.hpp"

#include <array>       // array
#include <string_view> // string_view
#include <utility>     // move

#include <openssl/evp.h>

namespace poplarport::node
{

namespace
{

// The key that is sent to peers is derived from the secret, so that the secret itself is never sent.
std::string derive_cluster_key(const std::string& secret)
{
    constexpr std::string_view purpose = "poplarport peer key 1:";
    const std::string input = std::string{purpose} + secret;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(input.data(), input.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned int index = 0; index < length; ++index)
    {
        text += digits[digest.at(index) >> 4U];
        text += digits[digest.at(index) & 0xfU];
    }
    return text;
}

} // namespace

node_identity make_identity(core::node_id id, std::string availability_zone, const std::string& cluster_secret)
{
    return {std::move(id), std::move(availability_zone), derive_cluster_key(cluster_secret)};
}

} // namespace poplarport::node
