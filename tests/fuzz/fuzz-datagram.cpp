#include "fuzz_target.hpp"

#include <array>  // array
#include <string> // string

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "poplarport/wire/datagram.hpp"

using namespace poplarport;

namespace
{

constexpr std::string_view secret = "secret-of-the-fuzz-cluster";

// Prepends a valid authentication tag, so that mutations pass the authentication and reach the decoder.
std::string with_authentication_tag(std::string_view body)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(body.data()), body.size(), digest.data(), &length);
    return std::string{reinterpret_cast<const char*>(digest.data()), wire::authentication_tag_bytes}.append(body);
}

} // namespace

// A datagram must not crash the node, and an accepted one must keep its meaning when it is encoded again.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto input = fuzz::to_text(data, size);
    std::error_code error;
    const auto decoded_without_tag = wire::decode(input, secret, error);
    fuzz::require(decoded_without_tag.has_value() != static_cast<bool>(error),
                  "there is either a datagram or an error");
    const auto decoded = wire::decode(with_authentication_tag(input), secret, error);
    fuzz::require(decoded.has_value() != static_cast<bool>(error), "there is either a datagram or an error");
    if (decoded)
    {
        const auto written = std::visit([](const auto& each) { return wire::encode(each, secret); }, *decoded);
        fuzz::require(wire::decode(written, secret, error) == decoded, "decode(encode(x)) == x");
    }
    return 0;
}
