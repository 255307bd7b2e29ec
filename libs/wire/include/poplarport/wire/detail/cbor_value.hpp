#pragma once

#include <string_view> // string_view

#include <nlohmann/json.hpp>

namespace poplarport::wire::detail
{

/// @brief Checks the structure of CBOR without recursion: every length lies within the input and nesting is bounded.
///
/// The reader of nlohmann/json needs this check for untrusted input: it throws on lengths that exceed a container's
/// maximum size, even with exceptions disabled, and recurses for each level of nesting, including that of strings of
/// indefinite length. Indefinite lengths and tags are rejected; the encoder writes neither.
/// @param[in] bytes one CBOR item
/// @return whether the item is complete, spans the whole input and is safe to parse
[[nodiscard]] bool has_bounded_structure(std::string_view bytes) noexcept;

/// @brief Parses CBOR of bounded structure.
/// @return the value, or a discarded value if the input is malformed
[[nodiscard]] nlohmann::json parse_cbor(std::string_view bytes);

} // namespace poplarport::wire::detail
