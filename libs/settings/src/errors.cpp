#include "poplarport/settings/errors.hpp"

#include <array> // array

namespace poplarport::settings
{
namespace
{

constexpr std::array<result::code_entry, 7> rows{{
    {100, "unreadable_file", "The file cannot be read.", "The path is wrong or the process may not read it."},
    {101, "malformed_toml", "The file is not valid TOML.", "Correct the syntax at the line that the fault names."},
    {102, "unknown_key", "The key is not known at this place.",
     "The key is misspelt or stands in the wrong table; the fault lists the keys allowed there."},
    {103, "missing_key", "A required key is absent.", "Add the key to the table at the line that the fault names."},
    {104, "wrong_type", "The value has the wrong type.", "Write a value of the type that the fault names as allowed."},
    {105, "out_of_range", "The number is outside its bounds.",
     "Choose a number within the bounds; the end of the key names the unit."},
    {106, "not_allowed", "The value is not among the allowed ones.",
     "Choose one of the values that the fault names as allowed."},
}};

} // namespace

const result::table_category& category() noexcept
{
    static const result::table_category instance{"settings", rows};
    return instance;
}

std::error_code make_error_code(errc value) noexcept
{
    return {static_cast<int>(value), category()};
}

} // namespace poplarport::settings
