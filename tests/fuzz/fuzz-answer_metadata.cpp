#include "fuzz_target.hpp"
#include "header_lines.hpp"

#include "poplarport/peer/answer_metadata.hpp"

using namespace poplarport;

// Guards against metadata that is accepted and means something else when it is written again.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto fields = fuzz::parse_lines(fuzz::to_text(data, size));
    const auto decoded = peer::decode_answer_metadata(fields);
    if (const auto* const error = std::get_if<peer::metadata_error>(&decoded))
    {
        fuzz::require(error->code && !error->field.empty(), "an error names its field");
        return 0;
    }
    const auto& metadata = std::get<peer::answer_metadata>(decoded);
    http::header_fields written;
    peer::encode(metadata, written);
    const auto repeated = peer::decode_answer_metadata(written);
    fuzz::require(std::get<peer::answer_metadata>(repeated) == metadata, "decode(encode(x)) == x");
    return 0;
}
