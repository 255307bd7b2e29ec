#include "fuzz_target.hpp"

#include "poplarport/wire/member_list.hpp"

using namespace poplarport;

// Guards against a member list that crashes the node, or that is accepted and means something else when it is written
// again.
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
