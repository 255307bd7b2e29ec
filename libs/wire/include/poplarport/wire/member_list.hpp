#pragma once

#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/membership/message.hpp"

namespace poplarport::wire
{

/// @return the CBOR encoding of a member list
[[nodiscard]] std::string encode(const membership::list_response& list);

/// @brief Decodes a member list; unknown fields are ignored.
/// @param[in]  bytes CBOR
/// @param[out] error `errc::malformed` or `out_of_bounds`; cleared on success
/// @return the list, or nothing on error
[[nodiscard]] std::optional<membership::list_response> decode_list(std::string_view bytes, std::error_code& error);

} // namespace poplarport::wire
