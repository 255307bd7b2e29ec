#include "poplarport/manifest/difference.hpp"
#include "poplarport/manifest/errors.hpp"
#include "poplarport/manifest/reader.hpp"
#include "poplarport/manifest/service_document.hpp"

#include <string>       // string
#include <system_error> // error_code

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using nlohmann::json;
using poplarport::manifest::differences;
using poplarport::manifest::errc;
using poplarport::manifest::parse_document;
using poplarport::manifest::service_document;

namespace
{

service_document sample_document()
{
    const auto result = poplarport::manifest::read_file(std::string{POPLARPORT_SAMPLES} + "/kolam.toml");
    service_document document = make_document(result.content, result.content.services[0]);
    document.change_id = "change-2";
    document.recent_changes = {{"change-1", 0}, {"change-2", 7}};
    return document;
}

struct malformed_case
{
    const char* pointer;
    json value;
    errc code;
};

struct change_case
{
    std::function<void(service_document&)> change;
    const char* path;
};

} // namespace

TEST_GROUP(service_document){};

// A document must reach the nodes with the whole content that poplarctl stored.
TEST(service_document, json_round_trip_preserves_document)
{
    std::error_code error;
    const service_document document = sample_document();
    const auto parsed = parse_document(to_json(document).dump(), error);
    CHECK_FALSE(error);
    CHECK_TRUE(parsed == document);
}

// A node must reject a malformed document without failing, and must not apply it.
TEST(service_document, malformed_documents_are_rejected)
{
    const malformed_case cases[] = {
        {"/format", 2, errc::unsupported_format},
        {"/service", nullptr, errc::malformed_document},
        {"/service/name", 4, errc::malformed_document},
        {"/service/upstream/slots", -1, errc::malformed_document},
        {"/service/upstream/slots", 4294967296U, errc::malformed_document},
        {"/service/upstream/slots", "9", errc::malformed_document},
        {"/service/upstream/default_deadline_ms", 20000, errc::malformed_document},
        {"/service/classes", 7, errc::malformed_document},
        {"/service/tenants/0/tenant", "stranger", errc::malformed_document},
        {"/tenants/0/credentials", json::array({"sha256:00:00"}), errc::malformed_document},
        {"/recent_changes", "x", errc::malformed_document},
    };
    for (const malformed_case& test_case : cases)
    {
        json node = to_json(sample_document());
        node[json::json_pointer{test_case.pointer}] = test_case.value;
        std::error_code error;
        CHECK_FALSE_TEXT(parse_document(node.dump(), error).has_value(), test_case.pointer);
        CHECK_TRUE_TEXT(error == test_case.code, test_case.pointer);
    }
    for (const char* text : {"", "{", "[]", "null", "{}", "\xff"})
    {
        std::error_code error;
        CHECK_FALSE(parse_document(text, error).has_value());
        CHECK_TRUE(error == errc::malformed_document);
    }
}

// An older node must accept a document that a newer poplarctl wrote with additional keys.
TEST(service_document, unknown_keys_are_ignored)
{
    json node = to_json(sample_document());
    node["service"]["later"] = true;
    std::error_code error;
    CHECK_TRUE(parse_document(node.dump(), error) == sample_document());
}

// The operator must see every change before applying it.
TEST(service_document, each_change_is_one_difference)
{
    const change_case cases[] = {
        {[](service_document& document) { document.rules.upstream.slots = 10; }, "/service/upstream/slots"},
        {[](service_document& document) { document.rules.tenants.erase(document.rules.tenants.begin()); },
         "/service/tenants/dealer-ipoh"},
        {[](service_document& document) { document.tenants[1].credentials[0].salt[0] ^= 1; },
         "/tenants/dealer-klang/credentials/0"},
        {[](service_document& document) { document.zone_costs[2].cost *= 2; }, "/zone_costs/2/cost_us"},
    };
    for (const change_case& test_case : cases)
    {
        service_document after = sample_document();
        test_case.change(after);
        const auto found = differences(sample_document(), after);
        UNSIGNED_LONGS_EQUAL_TEXT(1, found.size(), test_case.path);
        STRCMP_EQUAL(test_case.path, found[0].path.c_str());
        CHECK_TRUE(found[0].before.size() < 200);
    }
}

// Each apply has a new change id, which is not a change of the configuration.
TEST(service_document, change_ids_are_ignored_in_differences)
{
    service_document after = sample_document();
    after.change_id = "change-3";
    UNSIGNED_LONGS_EQUAL(0, differences(sample_document(), after).size());
}
