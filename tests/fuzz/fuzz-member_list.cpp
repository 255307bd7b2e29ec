#include "fuzz_target.hpp"

#include "poplarport/wire/member_list.hpp"

using namespace poplarport;

// A member list must not crash the node, and an accepted one must keep its meaning when it is encoded again.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::error_code error;
    const auto decoded = wire::decode_list(fuzz::to_text(data, size), error);
    fuzz::require(decoded.has_value() != static_cast<bool>(error), "there is either a list or an error");
    if (decoded)
    {
        fuzz::require(wire::decode_list(wire::encode(*decoded), error) == decoded, "decode(encode(x)) == x");
    }
    return 0;
}
