#include "poplarport/wire/compression.hpp"

#include <string> // string

#include <CppUTest/TestHarness.h>

using namespace poplarport;

namespace
{

struct compression_case
{
    const char* title;
    std::string bytes;
    std::size_t max_bytes;
    bool accepted;
};

} // namespace

TEST_GROUP(compression){};

// A text that changes on its way between two nodes would be a wrong configuration on one of them.
TEST(compression, restores_the_text)
{
    for (const std::size_t size : {0U, 1U, 65535U, 65536U, 1048576U})
    {
        std::string text;
        for (std::size_t index = 0; index < size; ++index)
        {
            text.push_back(static_cast<char>(index * index >> 3U));
        }
        const auto restored = wire::decompress(wire::compress(text), size);
        CHECK(restored == text);
    }
}

// Damaged bytes must be recognised, and a small input must not make a node allocate without limit.
TEST(compression, rejects_damaged_and_oversized_input)
{
    const auto whole = wire::compress(std::string(100000, 'x'));
    const compression_case cases[] = {
        {"whole", whole, 100000, true},
        {"too large", whole, 99999, false},
        {"truncated", whole.substr(0, whole.size() - 1), 100000, false},
        {"trailing bytes", whole + "x", 100000, false},
        {"wrong checksum", whole.substr(0, whole.size() - 1) + "?", 100000, false},
        {"empty", "", 100000, false},
        {"other format", "{\"version\":1}", 100000, false},
    };
    for (const auto& each : cases)
    {
        CHECK_EQUAL_TEXT(each.accepted, wire::decompress(each.bytes, each.max_bytes).has_value(), each.title);
    }
}
