#include "poplarport/result/table_category.hpp"

#include <array> // array

#include <CppUTest/TestHarness.h>

using poplarport::result::code_entry;
using poplarport::result::table_category;

namespace
{

constexpr std::array<code_entry, 2> rows{{
    {101, "first", "The first thing failed.", "A cause."},
    {102, "second", "The second thing failed.", "Another cause."},
}};

} // namespace

TEST_GROUP(table_category){};

// A code must not have the message of another code, and an unlisted number must be reported as such.
TEST(table_category, message_is_the_meaning_of_the_code)
{
    const table_category category{"sample", rows};
    STRCMP_EQUAL("The second thing failed.", category.message(102).c_str());
    STRCMP_EQUAL("unlisted result code 7", category.message(7).c_str());
    STRCMP_EQUAL("sample", category.name());
}
