#pragma once

#include <chrono>       // microseconds, milliseconds
#include <cstdint>      // int64_t, uint32_t
#include <memory>       // shared_ptr
#include <optional>     // optional
#include <string>       // string
#include <string_view>  // string_view
#include <system_error> // error_code
#include <vector>       // vector

#include "poplarport/core/socket_address.hpp"
#include "poplarport/settings/rules.hpp"

namespace poplarport::settings
{

namespace detail
{
struct document_state;
struct table_state;
} // namespace detail

/// @brief A table of a TOML document.
///
/// Each read declares a key. On a fault, the read records it in the document and returns the default or, if there is
/// none, the minimum, an empty string or an empty list, so that one pass finds all faults.
class table
{
  public:
    /// @brief Reads an integer.
    [[nodiscard]] std::int64_t integer(std::string_view key, const range<std::int64_t>& limits) const;

    /// @brief Reads a floating-point number; an integer is accepted.
    [[nodiscard]] double number(std::string_view key, const range<double>& limits) const;

    /// @brief Reads a boolean.
    [[nodiscard]] bool boolean(std::string_view key, std::optional<bool> fallback = std::nullopt) const;

    /// @brief Reads a duration in milliseconds.
    /// @param[in] key    key, must end with `_ms`
    /// @param[in] limits bounds
    [[nodiscard]] std::chrono::milliseconds milliseconds(std::string_view key,
                                                         const range<std::chrono::milliseconds>& limits) const;

    /// @brief Reads a duration in microseconds.
    /// @param[in] key    key, must end with `_us`
    /// @param[in] limits bounds
    [[nodiscard]] std::chrono::microseconds microseconds(std::string_view key,
                                                         const range<std::chrono::microseconds>& limits) const;

    /// @brief Reads a duration written as a string of a number and its unit, `ms` or `s`, for example `1.5s`.
    [[nodiscard]] std::chrono::milliseconds duration(std::string_view key,
                                                     const range<std::chrono::milliseconds>& limits) const;

    /// @brief Reads a size in bytes.
    /// @param[in] key    key, must end with `_bytes` or contain `bytes_per_`
    /// @param[in] limits bounds
    [[nodiscard]] std::uint64_t bytes(std::string_view key, const range<std::uint64_t>& limits) const;

    /// @brief Reads a string.
    [[nodiscard]] std::string text(std::string_view key, const text_rule& rule) const;

    /// @brief Reads a string that must be one of the allowed values.
    [[nodiscard]] std::string choice(std::string_view key, const std::vector<std::string>& allowed,
                                     std::optional<std::string> fallback = std::nullopt) const;

    /// @brief Reads a list of strings without duplicates.
    /// @param[in] key      key; if `min_size` is 0, an absent key is an empty list
    /// @param[in] rule     rule for each string; its fallback is ignored
    /// @param[in] min_size minimum length of the list
    [[nodiscard]] std::vector<std::string> texts(std::string_view key, const text_rule& rule,
                                                 std::size_t min_size = 0) const;

    /// @brief Reads an IP address and port, written `host:port`.
    [[nodiscard]] core::socket_address address(std::string_view key,
                                               std::optional<core::socket_address> fallback = std::nullopt) const;

    /// @brief Reads a list of addresses, each written `host:port`; an absent key is an empty list.
    [[nodiscard]] std::vector<core::socket_address> addresses(std::string_view key) const;

    /// @brief Reads a table. An absent table is read as an empty one, so that its missing required keys are faults.
    [[nodiscard]] table child(std::string_view key) const;

    /// @brief Reads an array of tables.
    /// @param[in] key      key; if `min_size` is 0, an absent key is an empty array
    /// @param[in] min_size minimum length of the array
    [[nodiscard]] std::vector<table> children(std::string_view key, std::size_t min_size = 0) const;

    /// @return whether the key is present; does not declare it
    [[nodiscard]] bool contains(std::string_view key) const noexcept;

    /// @return whether this table is present in the document
    [[nodiscard]] bool is_present() const noexcept;

    /// @brief Records a fault that the caller found, at the line of the key or, if the key is absent, of the table.
    /// @param[in] key     key within this table; empty for the table itself
    /// @param[in] code    result code of the library that found the fault
    /// @param[in] found   value in the file
    /// @param[in] allowed description of the allowed values
    void report(std::string_view key, std::error_code code, std::string found, std::string allowed) const;

  private:
    friend class document;
    explicit table(std::shared_ptr<detail::table_state> shared_state) noexcept;

    std::shared_ptr<detail::table_state> state;
};

} // namespace poplarport::settings
