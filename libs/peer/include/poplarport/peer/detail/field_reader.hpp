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

/// @brief Greatest length of an id, tenant or class in bytes.
inline constexpr std::size_t longest_name = 128;

/// @return the number, or nothing for any text but decimal digits, or above 64 bits
[[nodiscard]] std::optional<std::uint64_t> parse_decimal(std::string_view text) noexcept;

/// @return whether a text consists of visible ASCII characters and is neither empty nor too long
[[nodiscard]] bool is_name(std::string_view text) noexcept;

/// @brief Reads fields one after the other and keeps the first fault.
class field_reader
{
  public:
    explicit field_reader(const http::header_fields& source) noexcept;

    /// @return the value of a field that must occur once, or an empty text after a fault
    [[nodiscard]] std::string_view text(std::string_view name);

    /// @return the value of a field that may occur once, or nothing
    [[nodiscard]] std::optional<std::string_view> optional_text(std::string_view name);

    /// @return the value of a field with a name in it, or an empty text after a fault
    [[nodiscard]] std::string_view name(std::string_view field);

    /// @return the value of a numeric field, or the lowest one after a fault
    [[nodiscard]] std::uint64_t number(std::string_view field, std::uint64_t lowest, std::uint64_t highest);

    /// @return a number out of the value of a field, or zero after a fault
    [[nodiscard]] std::uint64_t part(std::string_view field, std::string_view value, std::uint64_t highest);

    /// @brief Records a fault, unless there is one already.
    void fail(std::string_view field, std::error_code code) noexcept;

    /// @return the first fault, if there is one
    [[nodiscard]] const std::optional<metadata_error>& fault() const noexcept;

  private:
    const http::header_fields* fields;
    std::optional<metadata_error> first{};
};

} // namespace poplarport::peer::detail
