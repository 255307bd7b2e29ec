#include "poplarport/manifest/errors.hpp"
#include "poplarport/manifest/lookup.hpp"
#include "poplarport/manifest/reader.hpp"

#include <memory>   // make_shared, shared_ptr
#include <optional> // optional
#include <string>   // string

#include <CppUTest/TestHarness.h>

using namespace poplarport::manifest;

namespace
{

service_document sample_document(const std::string& file, std::size_t index)
{
    const auto result = read_file(std::string{POPLARPORT_SAMPLES} + file);
    return make_document(result.content, result.content.services[index]);
}

struct credential_case
{
    std::optional<std::string_view> authorization;
    verdict expected;
};

struct repeatable_case
{
    const char* method;
    const char* target;
    bool expected;
};

struct class_case
{
    const char* target;
    const char* header_value;
    const char* expected;
};

struct host_case
{
    std::optional<std::string_view> service;
    const char* host;
    const char* expected;
};

} // namespace

TEST_GROUP(lookup){};

// A caller without a valid credential, or of a tenant that is not admitted, must not reach an upstream.
TEST(lookup, each_credential_has_its_verdict)
{
    const credential_case cases[] = {
        {"Bearer dealer-klang.sample-secret-dealer-klang", verdict::valid},
        {"bearer dealer-klang.sample-secret-dealer-klang", verdict::valid},
        {std::nullopt, verdict::missing},
        {"", verdict::missing},
        {"Bearer ", verdict::missing},
        {"Basic ZGVhbGVyOng=", verdict::missing},
        {"Bearer dealer-klang", verdict::invalid},
        {"Bearer dealer-klang.", verdict::invalid},
        {"Bearer .sample-secret-dealer-klang", verdict::invalid},
        {"Bearer dealer-klang.sample-secret-dealer-ipoh", verdict::invalid},
        {"Bearer dealer-klang.sample-secret-dealer-klan", verdict::invalid},
        {"Bearer dealer-klang.sample-secret-dealer-klang ", verdict::invalid},
        {"Bearer stranger.sample-secret-dealer-klang", verdict::invalid},
        {"Bearer internal.sample-secret-internal", verdict::not_admitted},
        {"Bearer internal.sample-secret-internak", verdict::invalid},
    };
    const service_document document = sample_document("/kolam.toml", 0);
    for (const credential_case& test_case : cases)
    {
        const authentication result = authenticate(document, test_case.authorization);
        CHECK_TRUE_TEXT(result.result == test_case.expected, std::string{test_case.authorization.value_or("")}.c_str());
        CHECK_EQUAL(result.result == verdict::valid, result.limits != nullptr);
        CHECK_EQUAL(result.result != verdict::valid, static_cast<bool>(to_error_code(result.result)));
    }
    STRCMP_EQUAL("dealer-klang", authenticate(document, cases[0].authorization).limits->tenant.c_str());
}

// A hash must match the secret that it was made from, two hashes must not share a salt, and weak secrets are rejected.
TEST(lookup, secrets_are_hashed_with_unique_salts)
{
    std::error_code error;
    const auto first = hash_secret("0123456789abcdef", error);
    const auto second = hash_secret("0123456789abcdef", error);
    CHECK_TRUE(first.has_value() && second.has_value());
    CHECK_TRUE(first->salt != second->salt);
    CHECK_TRUE(matches(*first, "0123456789abcdef"));
    CHECK_FALSE(matches(*first, "0123456789abcdeF"));
    CHECK_TRUE(parse_credential_hash(to_string(*first)) == first);
    for (const char* weak : {"", "short", "0123456789abcde\n", "0123456789 abcdef"})
    {
        CHECK_FALSE(hash_secret(weak, error).has_value());
        CHECK_TRUE(error == errc::weak_secret);
    }
}

// An upstream may resolve an ambiguous path to one that no rule covers; repeating such a request would run it twice.
TEST(lookup, only_unambiguous_paths_below_a_rule_are_repeatable)
{
    service_document document = sample_document("/kolam.toml", 0);
    document.rules.upstream.repeatable = {{{"GET"}, "/"}, {{"POST"}, "/quotes"}};
    const repeatable_case cases[] = {
        {"GET", "/cuts/1", true},
        {"GET", "/cuts/a%20b?x=/../y", true},
        {"POST", "/quotes", true},
        {"POST", "/quotes/1?x=1", true},
        {"post", "/quotes", false},
        {"PUT", "/quotes", false},
        {"POST", "/quotesX", false},
        {"POST", "/cuts", false},
        {"POST", "/quotes/../cuts", false},
        {"POST", "/quotes/..", false},
        {"POST", "/quotes/./1", false},
        {"POST", "/quotes/%2e%2E/cuts", false},
        {"POST", "/quotes%2fcuts", false},
        {"POST", "/quotes/%252e%252e/cuts", false},
        {"POST", "/quotes//cuts", false},
        {"POST", "/quotes\\..\\cuts", false},
        {"POST", "/quotes/..;/cuts", false},
        {"GET", "http://host/quotes", false},
        {"GET", "", false},
    };
    for (const repeatable_case& test_case : cases)
    {
        CHECK_EQUAL_TEXT(test_case.expected, is_repeatable(document.rules, test_case.method, test_case.target),
                         test_case.target);
    }
}

// A request with the wrong traffic class would use the share of another class.
TEST(lookup, class_is_found_by_header_then_longest_path)
{
    service_document document = sample_document("/abeba.toml", 0);
    document.rules.classes.push_back({"urgent", 5, "/bookings/urgent", "", ""});
    const class_case cases[] = {
        {"/", "", "default"},          {"/bookings", "", "bookings"}, {"/bookings/urgent/1", "", "urgent"},
        {"/bookingsX", "", "default"}, {"/bookings", "crew", "crew"}, {"/bookings?x", "other", "bookings"},
    };
    for (const class_case& test_case : cases)
    {
        const header_lookup header = [&test_case](std::string_view name) -> std::optional<std::string_view>
        {
            return name == "Abeba-Desk" ? std::optional<std::string_view>{test_case.header_value} : std::nullopt;
        };
        STRCMP_EQUAL(test_case.expected, find_class(document.rules, test_case.target, header).name.c_str());
    }
    document.rules.classes.clear();
    STRCMP_EQUAL("default", find_class(document.rules, "/", [](auto) { return std::nullopt; }).name.c_str());
}

// A request must not reach a service other than the one that it names.
TEST(lookup, service_is_found_by_field_or_host)
{
    service_directory directory;
    directory.insert(std::make_shared<service_document>(sample_document("/kolam.toml", 0)));
    directory.insert(std::make_shared<service_document>(sample_document("/kolam.toml", 1)));
    const host_case cases[] = {
        {std::nullopt, "orders.kolam.example", "orders"},
        {std::nullopt, "Orders.Kolam.Example:8080", "orders"},
        {std::nullopt, "stock", "stock"},
        {std::nullopt, "[::1]:8080", nullptr},
        {"stock", "orders.kolam.example", "stock"},
        {"nothing", "orders.kolam.example", nullptr},
        {"orders.kolam.example", "", nullptr},
    };
    for (const host_case& test_case : cases)
    {
        const auto found = directory.find(test_case.service, test_case.host);
        STRCMP_EQUAL(test_case.expected, found == nullptr ? nullptr : found->rules.name.c_str());
    }
    directory.erase("orders");
    CHECK_TRUE(directory.find(std::nullopt, "orders.kolam.example") == nullptr);
}

// If a zone pair without a listed cost were free, calls would prefer it.
TEST(lookup, zone_cost_is_symmetric_and_maximum_when_unlisted)
{
    using std::chrono::microseconds;
    const std::vector<zone_cost> costs{{"a", "b", microseconds{500}}, {"a", "c", microseconds{900}}};
    CHECK_TRUE(cost_between(costs, "b", "a") == microseconds{500});
    CHECK_TRUE(cost_between(costs, "a", "a") == microseconds{0});
    CHECK_TRUE(cost_between(costs, "b", "c") == microseconds{900});
}
