#pragma once

#include <span>         // span
#include <string>       // string
#include <system_error> // error_category

#include "poplarport/result/code_entry.hpp"

namespace poplarport::result
{

/// @brief An error category whose messages come from a table of result codes.
///
/// Each library has one instance of this type for its enumeration of errors.
class table_category final : public std::error_category
{
  public:
    /// @param[in] name    name of the library
    /// @param[in] entries rows of the library in ascending order of their numbers; must outlive the category
    table_category(const char* name, std::span<const code_entry> entries) noexcept : library_name(name), rows(entries)
    {
    }

    /// @return the name of the library
    [[nodiscard]] const char* name() const noexcept override
    {
        return this->library_name;
    }

    /// @return the meaning of a result code, or a message stating that the number is not in the table
    [[nodiscard]] std::string message(int number) const override;

    /// @return the rows of the table, in ascending order of their numbers
    [[nodiscard]] std::span<const code_entry> entries() const noexcept
    {
        return this->rows;
    }

  private:
    const char* library_name;
    std::span<const code_entry> rows;
};

} // namespace poplarport::result
