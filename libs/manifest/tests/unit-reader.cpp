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
    const char* replaced; ///< text of the sample; its first occurrence is replaced
    const char* by;
    std::error_code code;
    const char* key;
};

} // namespace

TEST_GROUP(manifest_reader){};

// Guards against samples that the current checks refuse.
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

// Guards against a broken rule that is accepted, or reported at another key.
TEST(manifest_reader, each_broken_rule_is_a_fault_at_its_key)
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
    for (const fault_case& sample : cases)
    {
        std::string text = sample_text();
        const auto position = text.find(sample.replaced);
        CHECK_TRUE_TEXT(position != std::string::npos, sample.replaced);
        text.replace(position, std::string{sample.replaced}.size(), sample.by);
        const auto faults = read(document::from_text(text, "m.toml")).faults;
        CHECK_TRUE_TEXT(!faults.empty(), sample.by);
        CHECK_TRUE_TEXT(faults[0].line > 1, sample.by);
        const bool is_found = std::ranges::any_of(faults, [&sample](const auto& fault)
                                                  { return fault.code == sample.code && fault.key == sample.key; });
        CHECK_TRUE_TEXT(is_found, (sample.by + (": " + to_string(faults))).c_str());
    }
}

// Guards against an empty file being applied as a manifest without services.
TEST(manifest_reader, manifest_without_services_is_refused)
{
    UNSIGNED_LONGS_EQUAL(1, read(document::from_text("", "m.toml")).faults.size());
    UNSIGNED_LONGS_EQUAL(1, read(document::from_text("services = 3", "m.toml")).faults.size());
}
