#pragma once

#include <optional> // optional
#include <string>   // string

#include "poplarport/membership/seed_duty.hpp"

namespace poplarport::node::detail
{

/// @return the JSON form of a seeds object
[[nodiscard]] std::string encode_seeds(const membership::seeds_document& document);

/// @return the seeds object, or nothing when the text is not one; a malformed address drops its seed alone
[[nodiscard]] std::optional<membership::seeds_document> decode_seeds(const std::string& text);

} // namespace poplarport::node::detail
