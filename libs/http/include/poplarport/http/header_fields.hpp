#pragma once

#include <cstddef>     // size_t
#include <string>      // string
#include <string_view> // string_view
#include <vector>      // vector

namespace poplarport::http
{

struct header_field
{
    std::string name;
    std::string value;
};

/// @return whether two field names are equal, ignoring case (RFC 9110, section 5.1)
[[nodiscard]] bool equal_names(std::string_view left, std::string_view right) noexcept;

/// @brief The fields of a header section in the order in which they were received or added.
class header_fields
{
  public:
    /// @brief Appends a field; earlier fields of the same name stay.
    void add(std::string_view name, std::string_view value);

    /// @brief Replaces all fields of a name with one.
    void set(std::string_view name, std::string_view value);

    /// @brief Removes all fields of a name.
    /// @return the number of removed fields
    std::size_t erase(std::string_view name);

    /// @return the value of the first field of a name, or nullptr if there is none
    [[nodiscard]] const std::string* find(std::string_view name) const noexcept;

    /// @return the number of fields of a name
    [[nodiscard]] std::size_t count(std::string_view name) const noexcept;

    /// @return whether a list-valued field contains a token, ignoring case
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
