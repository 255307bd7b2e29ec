#pragma once

#include <cstddef>     // size_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view

namespace poplarport::wire
{

/// @brief Compresses a text.
/// @param[in] text the text
/// @return the text in the zlib format (RFC 1950)
[[nodiscard]] std::string compress(std::string_view text);

/// @brief Restores a compressed text.
/// @param[in] bytes     bytes in the zlib format
/// @param[in] max_bytes maximum size of the text
/// @return the text, or nothing if the bytes are damaged or the text is larger than the maximum
[[nodiscard]] std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes);

} // namespace poplarport::wire
