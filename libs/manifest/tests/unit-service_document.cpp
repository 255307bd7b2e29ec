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

service_document sample()
{
    const auto result = poplarport::manifest::read_file(std::string{POPLARPORT_SAMPLES} + "/kolam.toml");
    service_document document = make_document(result.content, result.content.services[0]);
    document.change_id = "change-2";
    document.recent_change_ids = {"change-2", "change-1"};
    return document;
}

struct broken_case
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

// Guards against content that is lost between the pipeline and the nodes.
TEST(service_document, json_form_keeps_everything)
{
    std::error_code error;
    const service_document document = sample();
    const auto parsed = parse_document(to_json(document).dump(), error);
    CHECK_FALSE(error);
    CHECK_TRUE(parsed == document);
}

// Guards against a node that puts a broken document in force, or fails on one.
TEST(service_document, broken_documents_are_refused)
{
    const broken_case cases[] = {
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
        {"/recent_change_ids", "x", errc::malformed_document},
    };
    for (const broken_case& sample_case : cases)
    {
        json node = to_json(sample());
        node[json::json_pointer{sample_case.pointer}] = sample_case.value;
        std::error_code error;
        CHECK_FALSE_TEXT(parse_document(node.dump(), error).has_value(), sample_case.pointer);
        CHECK_TRUE_TEXT(error == sample_case.code, sample_case.pointer);
    }
    for (const char* text : {"", "{", "[]", "null", "{}", "\xff"})
    {
        std::error_code error;
        CHECK_FALSE(parse_document(text, error).has_value());
        CHECK_TRUE(error == errc::malformed_document);
    }
}

// Guards against older nodes that refuse documents of a newer poplarctl.
TEST(service_document, unknown_keys_are_ignored)
{
    json node = to_json(sample());
    node["service"]["later"] = true;
    std::error_code error;
    CHECK_TRUE(parse_document(node.dump(), error) == sample());
}

// Guards against a change that the operator does not see before applying it.
TEST(service_document, each_change_is_one_difference)
{
    const change_case cases[] = {
        {[](service_document& d) { d.rules.upstream.slots = 10; }, "/service/upstream/slots"},
        {[](service_document& d) { d.rules.tenants.erase(d.rules.tenants.begin()); }, "/service/tenants/dealer-ipoh"},
        {[](service_document& d) { d.tenants[1].credentials[0].salt[0] ^= 1; }, "/tenants/dealer-klang/credentials/0"},
        {[](service_document& d) { d.zone_costs[2].cost *= 2; }, "/zone_costs/2/cost_us"},
    };
    for (const change_case& sample_case : cases)
    {
        service_document after = sample();
        sample_case.change(after);
        const auto found = differences(sample(), after);
        UNSIGNED_LONGS_EQUAL_TEXT(1, found.size(), sample_case.path);
        STRCMP_EQUAL(sample_case.path, found[0].path.c_str());
        CHECK_TRUE(found[0].before.size() < 200);
    }
}

// Guards against a new change id being shown as a change of the configuration.
TEST(service_document, change_ids_are_no_difference)
{
    service_document after = sample();
    after.change_id = "change-3";
    UNSIGNED_LONGS_EQUAL(0, differences(sample(), after).size());
}
