#include "poplarport/settings/errors.hpp"

#include <array> // array

namespace poplarport::settings
{
namespace
{

constexpr std::array<result::code_entry, 7> rows{{
    {100, "unreadable_file", "The file cannot be read.", "The path is wrong or the process may not read it."},
    {101, "malformed_toml", "The file is not valid TOML.", "Correct the syntax at the reported line."},
    {102, "unknown_key", "The key is not valid in this table.",
     "The key is misspelt or in the wrong table; the fault lists the allowed keys."},
    {103, "missing_key", "A required key is absent.", "Add the key to the table at the reported line."},
    {104, "wrong_type", "The value has the wrong type.", "Use a value of the allowed type, which the fault reports."},
    {105, "out_of_range", "The number is outside its bounds.",
     "Use a number within the bounds; the suffix of the key is the unit."},
    {106, "not_allowed", "The value is not among the allowed ones.",
     "Use one of the allowed values, which the fault reports."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"settings", rows};
    return instance;
}

std::error_code make_error_code(errc code) noexcept
{
    return {static_cast<int>(code), category()};
}

} // namespace poplarport::settings
