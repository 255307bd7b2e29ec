#pragma once

#include <cstddef>     // size_t
#include <optional>    // optional
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

#include <nlohmann/json.hpp>

namespace poplarport::json_text
{

/// @brief Greatest number of arrays and objects within each other that parse() accepts.
///
/// The functions of the JSON library that copy, write or compare a value call themselves once for each level.
inline constexpr std::size_t max_nesting = 64;

/// @brief Parses a JSON text that another program has written.
/// @return the value; a discarded one if the text is malformed or nested too deeply
[[nodiscard]] nlohmann::json parse(std::string_view text);

/// @brief Writes a value as a JSON text; bytes that are not UTF-8 are replaced.
/// @param[in] indent spaces for each level; negative for a text on one line
[[nodiscard]] std::string dump(const nlohmann::json& value, int indent = -1);

/// @brief A member of a JSON object that was not parsed.
struct member
{
    std::string_view key;   ///< as written, without the quotation marks
    std::string_view value; ///< text of the value
};

/// @brief Splits the text of a JSON object into its members without parsing their values.
///
/// The texts of the values may be malformed: one that cannot be parsed does not affect the others.
/// @return the members in their order, views into the text; nothing if the text is not an object
[[nodiscard]] std::optional<std::vector<member>> split_object(std::string_view text);

/// @brief Splits the text of a JSON array into its elements without parsing them.
/// @return the texts of the elements, views into the text; nothing if the text is not an array
[[nodiscard]] std::optional<std::vector<std::string_view>> split_array(std::string_view text);

/// @return the text of the first member with the key; empty if there is none
[[nodiscard]] std::string_view find(const std::vector<member>& members, std::string_view key) noexcept;

} // namespace poplarport::json_text
