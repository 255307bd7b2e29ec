#include "poplarport/manifest/errors.hpp"
#include "poplarport/manifest/reader.hpp"
#include "poplarport/settings/errors.hpp"

#include <algorithm> // ranges::any_of
#include <fstream>   // ifstream
#include <iterator>  // istreambuf_iterator
#include <string>    // string

#include <CppUTest/TestHarness.h>

using poplarport::manifest::read;
using poplarport::manifest::read_file;
using poplarport::manifest::read_result;
using poplarport::settings::document;
using manifest_errc = poplarport::manifest::errc;
using settings_errc = poplarport::settings::errc;

namespace
{

const std::string samples = POPLARPORT_SAMPLES;

std::string sample_text()
{
    std::ifstream stream{samples + "/kolam.toml"};
    return {std::istreambuf_iterator<char>{stream}, std::istreambuf_iterator<char>{}};
}

struct fault_case
{
    const char* replaced; ///< text of the sample whose first occurrence is replaced
    const char* replacement;
    std::error_code code;
    const char* key;
};

} // namespace

TEST_GROUP(manifest_reader){};

// The samples must stay valid when the checks change.
TEST(manifest_reader, samples_are_valid)
{
    for (const char* name : {"/kolam.toml", "/abeba.toml"})
    {
        const read_result result = read_file(samples + name);
        STRCMP_EQUAL("", to_string(result.faults).c_str());
        UNSIGNED_LONGS_EQUAL(2, result.content.services.size());
    }
    const read_result kolam = read_file(samples + "/kolam.toml");
    UNSIGNED_LONGS_EQUAL(9, kolam.content.services[0].upstream.slots);
    UNSIGNED_LONGS_EQUAL(6, kolam.content.zone_costs.size());
}

// The example of the reference page must stay valid when the checks change.
TEST(manifest_reader, example_in_documentation_is_valid)
{
    std::ifstream stream{samples + "/../docs/operators/manifest.md"};
    const std::string page{std::istreambuf_iterator<char>{stream}, std::istreambuf_iterator<char>{}};
    const std::string opening = "```toml\n";
    const auto begin = page.find(opening) + opening.size();
    const auto end = page.find("```", begin);
    CHECK_TRUE(end != std::string::npos);
    const auto result = read(document::from_text(page.substr(begin, end - begin), "manifest.md"));
    STRCMP_EQUAL("", to_string(result.faults).c_str());
}

// A violated rule must not be accepted, and the fault must name the key that violates it.
TEST(manifest_reader, each_violated_rule_is_reported_at_its_key)
{
    const fault_case cases[] = {
        {"calls = [\"stock\"]", "calls = [\"stok\"]", manifest_errc::unknown_service, "services[0].calls"},
        {"name = \"stock\"", "name = \"orders\"", manifest_errc::duplicate_name, "services[1].name"},
        {"name = \"dealer-ipoh\"", "name = \"dealer-klang\"", manifest_errc::duplicate_name, "tenants[1].name"},
        {"tenant = \"internal\"", "tenant = \"external\"", manifest_errc::unknown_tenant,
         "services[1].tenants[0].tenant"},
        {"tenant = \"dealer-ipoh\"", "tenant = \"dealer-klang\"", manifest_errc::duplicate_name,
         "services[0].tenants[1].tenant"},
        {"default_deadline_ms = 2000", "default_deadline_ms = 20000", manifest_errc::contradiction,
         "services[0].upstream.default_deadline_ms"},
        {"connection_limit = 260", "connection_limit = 8", manifest_errc::contradiction, "services[0].upstream.slots"},
        {"path_prefix = \"/cuts\"", "header = \"X\"", manifest_errc::contradiction, "services[0].classes[1].header"},
        {"path_prefix = \"/cuts\"", "", manifest_errc::contradiction, "services[0].classes[1].name"},
        {"to = \"my-west-2\"", "to = \"my-west-1\"", manifest_errc::contradiction, "zone_costs[0].to"},
        {"to = \"my-west-3\"", "to = \"my-west-2\"", manifest_errc::duplicate_name, "zone_costs[1].from"},
        {"\"stock.kolam.example\"", "\"orders.kolam.example\"", manifest_errc::duplicate_name, "services[1].hosts"},
        {"credentials = [\"sha256:", "credentials = [\"sha1:", settings_errc::not_allowed, "tenants[0].credentials"},
        {"slots = 9", "slots = 0", settings_errc::out_of_range, "services[0].upstream.slots"},
        {"slots = 9", "slot = 9\nslots = 9", settings_errc::unknown_key, "services[0].upstream.slot"},
        {"methods = [\"POST\"]", "methods = [\"post\"]", settings_errc::not_allowed,
         "services[0].upstream.repeatable[1].methods"},
        {"path_prefix = \"/quotes\"", "path_prefix = \"/a/../b\"", settings_errc::not_allowed,
         "services[0].upstream.repeatable[1].path_prefix"},
        {"name = \"farm-perak\"", "name = \"farm.perak\"", settings_errc::not_allowed, "tenants[2].name"},
    };
    for (const fault_case& test_case : cases)
    {
        std::string text = sample_text();
        const auto position = text.find(test_case.replaced);
        CHECK_TRUE_TEXT(position != std::string::npos, test_case.replaced);
        text.replace(position, std::string{test_case.replaced}.size(), test_case.replacement);
        const auto faults = read(document::from_text(text, "m.toml")).faults;
        CHECK_TRUE_TEXT(!faults.empty(), test_case.replacement);
        CHECK_TRUE_TEXT(faults[0].line > 1, test_case.replacement);
        const bool is_found =
            std::ranges::any_of(faults, [&test_case](const auto& fault)
                                { return fault.code == test_case.code && fault.key == test_case.key; });
        CHECK_TRUE_TEXT(is_found, (test_case.replacement + (": " + to_string(faults))).c_str());
    }
}

// An empty file must not be applied as a manifest without services.
TEST(manifest_reader, manifest_without_services_is_rejected)
{
    UNSIGNED_LONGS_EQUAL(1, read(document::from_text("", "m.toml")).faults.size());
    UNSIGNED_LONGS_EQUAL(1, read(document::from_text("services = 3", "m.toml")).faults.size());
}
