#pragma once

#include <cstddef>      // size_t
#include <cstdint>      // uint64_t
#include <optional>     // optional
#include <string_view>  // string_view
#include <system_error> // error_code

#include "poplarport/http/header_fields.hpp"
#include "poplarport/peer/metadata_error.hpp"

namespace poplarport::peer::detail
{

/// @brief Names of the metadata fields.
namespace field_name
{
inline constexpr std::string_view request_id = "poplar-request-id";
inline constexpr std::string_view time_left = "poplar-time-left-us";
inline constexpr std::string_view target_left = "poplar-target-left-us";
inline constexpr std::string_view sent_at = "poplar-sent-at-us";
inline constexpr std::string_view attempt = "poplar-attempt";
inline constexpr std::string_view depth = "poplar-depth";
inline constexpr std::string_view tenant = "poplar-tenant";
inline constexpr std::string_view traffic_class = "poplar-class";
inline constexpr std::string_view config_version = "poplar-config-version";
inline constexpr std::string_view outcome = "poplar-outcome";
inline constexpr std::string_view code = "poplar-code";
inline constexpr std::string_view load = "poplar-load";
inline constexpr std::string_view better = "poplar-better";
} // namespace field_name

/// @brief Maximum length of an id, tenant or class in bytes.
inline constexpr std::size_t max_name_length = 128;

/// @return the number, or nothing when the text has anything but decimal digits or exceeds 64 bits
[[nodiscard]] std::optional<std::uint64_t> parse_decimal(std::string_view text) noexcept;

/// @return whether a text has 1 to 128 characters, all of them visible ASCII
[[nodiscard]] bool is_name(std::string_view text) noexcept;

/// @brief Reads header fields one by one and keeps the first error.
class field_reader
{
  public:
    explicit field_reader(const http::header_fields& source) noexcept;

    /// @return the value of a field that must occur exactly once, or an empty text after an error
    [[nodiscard]] std::string_view text(std::string_view name);

    /// @return the value of a field that may occur at most once, or nothing
    [[nodiscard]] std::optional<std::string_view> optional_text(std::string_view name);

    /// @return the value of a field that contains a name (see is_name()), or an empty text after an error
    [[nodiscard]] std::string_view name(std::string_view field);

    /// @return the value of a numeric field, or `min` after an error
    [[nodiscard]] std::uint64_t number(std::string_view field, std::uint64_t min, std::uint64_t max);

    /// @brief Parses one number of a field that holds several.
    /// @param[in] field name of the field, for the error
    /// @param[in] value text of the number
    /// @return the number, or zero after an error
    [[nodiscard]] std::uint64_t list_number(std::string_view field, std::string_view value, std::uint64_t max);

    /// @brief Records an error unless one has been recorded already.
    void fail(std::string_view field, std::error_code code) noexcept;

    /// @return the first recorded error, if any
    [[nodiscard]] const std::optional<metadata_error>& error() const noexcept;

  private:
    const http::header_fields* fields;
    std::optional<metadata_error> first_error{};
};

} // namespace poplarport::peer::detail
