#include "header_lines.hpp"

#include "poplarport/peer/response_metadata.hpp"

using namespace poplarport;

// Metadata that is accepted must keep its meaning when it is encoded again.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    fuzz::check_metadata<peer::response_metadata>(fuzz::to_text(data, size), peer::decode_response_metadata);
    return 0;
}
