#include <string>      // string, to_string
#include <string_view> // string_view
#include <vector>      // vector

#include <CppUTest/TestHarness.h>

#include "poplarport/tenants/directory.hpp"
#include "poplarport/tenants/errors.hpp"

using namespace poplarport;
using tenants::digest_of;
using tenants::errc;

namespace
{

tenants::directory make_directory()
{
    return tenants::directory{
        {{"farm", {digest_of({}, "key-of-farm-1"), digest_of({}, "key-of-farm-2")}, 0}, {"shop", {}, {}}}};
}

} // namespace

TEST_GROUP(tenant_directory){};

// Guards against a request that gets the rights of a tenant without its key.
TEST(tenant_directory, keys_identify_their_tenant)
{
    struct key_case
    {
        const char* name;
        std::vector<std::string_view> keys;
        std::error_code error;
    };
    const std::string longest(tenants::max_key_bytes, 'k');
    const std::string too_long(tenants::max_key_bytes + 1, 'k');
    const auto tested = make_directory();
    for (const auto& each : {key_case{"first key", {"key-of-farm-1"}, {}},
                             {"second key", {"key-of-farm-2"}, {}},
                             {"none", {}, errc::missing_key},
                             {"two", {"key-of-farm-1", "key-of-farm-1"}, errc::malformed_key},
                             {"empty", {""}, errc::malformed_key},
                             {"space", {"key-of-farm-1 "}, errc::malformed_key},
                             {"list", {"key-of-farm-1,key-of-farm-2"}, errc::unknown_key},
                             {"prefix", {"key-of-farm"}, errc::unknown_key},
                             {"other case", {"KEY-OF-FARM-1"}, errc::unknown_key},
                             {"longest", {longest}, errc::unknown_key},
                             {"too long", {too_long}, errc::malformed_key},
                             {"line end", {"key\r\n"}, errc::malformed_key}})
    {
        const auto result = tested.identify(each.keys);
        CHECK_TEXT(result.error == each.error, each.name);
        CHECK_TEXT((result.identified != nullptr) == !each.error, each.name);
        CHECK_TEXT(result.identified == nullptr || result.identified->name == "farm", each.name);
    }
}

TEST(tenant_directory, finds_each_of_ten_thousand_tenants)
{
    constexpr int count = 10'000;
    std::vector<tenants::tenant> list;
    for (int number = 0; number < count; ++number)
    {
        const auto name = std::to_string(number);
        list.push_back({name, {digest_of({}, "first key " + name), digest_of({}, "second-key-" + name)}, {}, {}});
    }
    const tenants::directory tested{std::move(list)};
    for (int number = 0; number < count; number += 97)
    {
        const auto name = std::to_string(number);
        const auto key = "second-key-" + name;
        const auto result = tested.identify({key});
        CHECK(result.identified != nullptr && result.identified->name == name);
        POINTERS_EQUAL(result.identified, tested.find(name));
    }
    POINTERS_EQUAL(nullptr, tested.find("none"));
}

// Guards against a version in which a key admits its holder as another tenant, and against keys in a log.
TEST(tenant_directory, names_and_keys_are_unique)
{
    const auto key = digest_of({}, "key");
    CHECK(tenants::find_fault({{"a", {key}, {}, {}}, {"b", {}, {}, {}}}).empty());
    STRCMP_EQUAL("tenant 'a' occurs twice", tenants::find_fault({{"a", {}, {}, {}}, {"a", {}, {}, {}}}).c_str());
    for (const auto& name : {std::string{}, std::string{"a\r\nb"}, std::string{"a b"}, std::string(129, 'a')})
    {
        CHECK_FALSE(tenants::find_fault({{name, {}, {}, {}}}).empty());
    }
    STRCMP_EQUAL("a key of tenant 'b' occurs twice",
                 tenants::find_fault({{"a", {key}, {}, {}}, {"b", {key}, {}, {}}}).c_str());
}

TEST(tenant_directory, digests_have_a_text_form)
{
    const auto value = digest_of("salt", "secret");
    CHECK(tenants::parse_digest(tenants::to_string(value)) == value);
    for (const char* const malformed : {"", "00", "zz"})
    {
        CHECK_FALSE(tenants::parse_digest(malformed).has_value());
    }
    CHECK_FALSE(tenants::parse_digest(std::string(64, 'G')).has_value());
}
