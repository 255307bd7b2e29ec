#pragma once

#include <string_view> // string_view

#include <nlohmann/json.hpp>

namespace poplarport::wire::detail
{

/// @brief Checks the structure of CBOR without recursion: every length lies within the input and nesting is bounded.
///
/// nlohmann/json's reader needs this check for input of others: it throws on lengths that no container can have, even
/// when told not to throw, and it recurses for each level of nesting, also that of strings of indefinite length.
/// Indefinite lengths and tags are refused; the encoder writes neither.
/// @param[in] bytes one CBOR item
/// @return whether the item is whole, ends the input and is safe to read
[[nodiscard]] bool has_bounded_structure(std::string_view bytes) noexcept;

/// @brief Reads CBOR of bounded structure.
/// @return the value, or a discarded value when the input is damaged
[[nodiscard]] nlohmann::json parse_cbor(std::string_view bytes);

} // namespace poplarport::wire::detail
