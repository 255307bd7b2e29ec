#pragma once

#include <optional> // optional
#include <string>   // string

#include "poplarport/membership/seed_duty.hpp"

namespace poplarport::node::detail
{

/// @return a seeds object as JSON
[[nodiscard]] std::string encode_seeds(const membership::seeds_document& document);

/// @return the seeds object, or nothing when the text is malformed; a seed with a malformed address is skipped
[[nodiscard]] std::optional<membership::seeds_document> decode_seeds(const std::string& text);

} // namespace poplarport::node::detail
