#include "poplarport/json_text/json_text.hpp"

#include <string> // string
#include <vector> // vector

#include <CppUTest/TestHarness.h>

using namespace poplarport;

namespace
{

std::string nested(std::size_t levels, const char* open, const char* close)
{
    std::string text;
    for (std::size_t level = 0; level < levels; ++level)
    {
        text += open;
    }
    text += "1";
    for (std::size_t level = 0; level < levels; ++level)
    {
        text += close;
    }
    return text;
}

} // namespace

TEST_GROUP(json_text){};

// A value that is nested too deeply overflows the stack when it is copied or written, which ends the process
// (review/4).
TEST(json_text, deeply_nested_texts_are_rejected)
{
    const std::size_t deep = 200000;
    for (const auto& text : {nested(deep, "[", "]"), nested(deep, "{\"a\":", "}"), nested(deep, "[{\"a\":", "}]"),
                             "{\"a\":[" + nested(deep, "[", "]") + "]}", std::string(deep, '['),
                             nested(json_text::max_nesting + 1, "[", "]")})
    {
        CHECK(json_text::parse(text).is_discarded());
    }
    const auto allowed = nested(json_text::max_nesting, "[", "]");
    STRCMP_EQUAL(allowed.c_str(), json_text::dump(json_text::parse(allowed)).c_str());
    // Brackets in strings are no levels.
    CHECK(json_text::parse("[\"" + std::string(deep, '[') + "\"]").is_array());
    CHECK(json_text::parse("]").is_discarded());
    CHECK(json_text::parse("").is_discarded());
}

// Bytes that are not UTF-8 must not end the process that writes them.
TEST(json_text, bytes_that_are_not_text_are_replaced)
{
    STRCMP_EQUAL("{\"a\":\"x\xEF\xBF\xBDy\"}", json_text::dump({{"a", "x\xFFy"}}).c_str());
}

// An element that cannot be parsed must not affect the others: the machines would lose the whole list.
TEST(json_text, a_list_with_an_odd_element_keeps_the_others)
{
    for (const auto& odd : {std::string{"1e400"}, std::string{"{\"a\":\"\xFF\"}"}, nested(200000, "[", "]"),
                            std::string{"{\"a\":1,}"}, std::string{"{\"a\":\"},{\\\"\"}"}, std::string{"nonsense"}})
    {
        const auto list = "{\"items\": [ {\"n\":1} ," + odd + ",{\"n\" : [2, \"]\"]} ] , \"at\":7}";
        const auto root = json_text::split_object(list);
        CHECK_TEXT(root && root->size() == 2, odd.substr(0, 20).c_str());
        CHECK(json_text::find(*root, "at") == "7");
        CHECK(json_text::find(*root, "other").empty());
        const auto items = json_text::split_array(json_text::find(*root, "items"));
        CHECK_TEXT(items && items->size() == 3, odd.substr(0, 20).c_str());
        CHECK((*items)[0] == "{\"n\":1}");
        CHECK((*items)[1] == odd);
        CHECK((*items)[2] == "{\"n\" : [2, \"]\"]}");
    }
}

// A text that is not a whole object or array must not be read as a shorter one.
TEST(json_text, incomplete_texts_are_not_split)
{
    const std::string whole = "{\"a\":[1,{\"b\":\"c\\\"\"}],\"d\":\"e\"}";
    CHECK(json_text::split_object(whole).has_value());
    for (std::size_t length = 0; length < whole.size(); ++length)
    {
        CHECK_TEXT(!json_text::split_object(whole.substr(0, length)), whole.substr(0, length).c_str());
    }
    for (const char* const text : {"{}x", "{,}", "{\"a\"}", "{\"a\":}", "{a:1}", "[1]", "{\"a\":1]"})
    {
        CHECK_TEXT(!json_text::split_object(text), text);
    }
    for (const char* const text : {"[1", "[1,]", "[,1]", "[1]]", "{}", "[1}", ""})
    {
        CHECK_TEXT(!json_text::split_array(text), text);
    }
    CHECK(json_text::split_array(" [ ] ")->empty());
    CHECK(json_text::split_object(" { } ")->empty());
}
