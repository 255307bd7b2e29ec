#pragma once

#include <cstddef>     // size_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace poplarport::http
{

/// @brief One header field.
struct header_field
{
    std::string name;
    std::string value;
};

/// @return whether two field names are the same, without regard to case (RFC 9110, section 5.1)
[[nodiscard]] bool equal_names(std::string_view left, std::string_view right) noexcept;

/// @brief The fields of a header section in the order of their arrival.
class header_fields
{
  public:
    /// @brief Appends a field.
    void add(std::string_view name, std::string_view value);

    /// @brief Replaces all fields of a name by one.
    void set(std::string_view name, std::string_view value);

    /// @brief Removes all fields of a name.
    /// @return how many were removed
    std::size_t erase(std::string_view name);

    /// @return the value of the first field of a name, or nullptr
    [[nodiscard]] const std::string* find(std::string_view name) const noexcept;

    /// @return the number of fields of a name
    [[nodiscard]] std::size_t count(std::string_view name) const noexcept;

    /// @return whether a list-valued field contains a token, without regard to case
    [[nodiscard]] bool contains_token(std::string_view name, std::string_view token) const noexcept;

    /// @return the number of fields
    [[nodiscard]] std::size_t size() const noexcept
    {
        return this->fields.size();
    }

    [[nodiscard]] auto begin() const noexcept
    {
        return this->fields.begin();
    }

    [[nodiscard]] auto end() const noexcept
    {
        return this->fields.end();
    }

  private:
    std::vector<header_field> fields{};
};

} // namespace poplarport::http
