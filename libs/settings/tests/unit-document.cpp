#include "poplarport/settings/document.hpp"
#include "poplarport/settings/errors.hpp"

#include <optional> // optional
#include <string>   // string
#include <vector>   // vector

#include <CppUTest/TestHarness.h>

using poplarport::settings::document;
using poplarport::settings::errc;
using poplarport::settings::fault;
using poplarport::settings::parse_duration;
using poplarport::settings::table;
using std::chrono_literals::operator""ms;

namespace
{

/// @brief Reads the keys of a sample program.
/// @return the faults
std::vector<fault> read_faults(const char* text)
{
    document file = document::from_text(text, "sample.toml");
    const table root = file.root();
    static_cast<void>(root.address("listen"));
    static_cast<void>(root.integer("slots", {1, 100}));
    static_cast<void>(root.milliseconds("timeout_ms", {1ms, 5000ms, 100ms}));
    static_cast<void>(root.texts("names", {"a name"}));
    const table nested = root.child("store");
    static_cast<void>(nested.boolean("sync", true));
    for (const table& zone : root.children("zones"))
    {
        static_cast<void>(zone.number("cost", {0.0, 1.0}));
    }
    return file.finish();
}

struct fault_case
{
    const char* text;
    errc code;
    std::uint32_t line;
    const char* key;
};

} // namespace

TEST_GROUP(settings_document){};

// Each kind of fault must be found and reported with its line and key, so that an operator can correct it.
TEST(settings_document, each_fault_has_code_line_and_key)
{
    const fault_case cases[] = {
        {"listen = \"127.0.0.1:1\"\n", errc::missing_key, 1, "slots"},
        {"listen = \"nowhere\"\nslots = 1\n", errc::not_allowed, 1, "listen"},
        {"listen = \"127.0.0.1:1\"\nslots = 0\n", errc::out_of_range, 2, "slots"},
        {"listen = \"127.0.0.1:1\"\nslots = \"9\"\n", errc::wrong_type, 2, "slots"},
        {"listen = \"127.0.0.1:1\"\nslots = 9.5\n", errc::wrong_type, 2, "slots"},
        {"listen = \"127.0.0.1:1\"\nslots = 1\ntimeout = 5\n", errc::unknown_key, 3, "timeout"},
        {"listen = \"127.0.0.1:1\"\nslots = 1\ntimeout_ms = 5001\n", errc::out_of_range, 3, "timeout_ms"},
        {"listen = \"127.0.0.1:1\"\nslots = 1\nnames = [\"a\", \"a\"]\n", errc::not_allowed, 3, "names"},
        {"listen = \"127.0.0.1:1\"\nslots = 1\n[store]\nsink = true\n", errc::unknown_key, 4, "store.sink"},
        {"listen = \"127.0.0.1:1\"\nslots = 1\nstore = 4\n", errc::wrong_type, 3, "store"},
        {"listen = \"127.0.0.1:1\"\nslots = 1\n[[zones]]\ncost = nan\n", errc::out_of_range, 4, "zones[0].cost"},
        {"listen = \"127.0.0.1:1\"\nslots = 1\n[[zones]]\ncost = 1\nx = 1\n", errc::unknown_key, 5, "zones[0].x"},
        {"listen = \"127.0.0.1:1\"\nslots = \n", errc::malformed_toml, 2, ""},
    };
    for (const fault_case& tested_case : cases)
    {
        const std::vector<fault> faults = read_faults(tested_case.text);
        UNSIGNED_LONGS_EQUAL_TEXT(1, faults.size(), tested_case.text);
        CHECK_TRUE_TEXT(faults[0].code == tested_case.code, tested_case.text);
        UNSIGNED_LONGS_EQUAL_TEXT(tested_case.line, faults[0].line, tested_case.text);
        STRCMP_EQUAL_TEXT(tested_case.key, faults[0].key.c_str(), tested_case.text);
    }
}

// If reading stopped at the first fault, an operator would need one run per fault.
TEST(settings_document, all_faults_are_reported_together)
{
    const std::vector<fault> faults = read_faults("slots = 0\nextra = 1\n[store]\nsync = 3\n");
    UNSIGNED_LONGS_EQUAL(4, faults.size());
    STRCMP_EQUAL("sample.toml:1: slots: found 0; allowed: an integer from 1 to 100 (settings 105)",
                 to_string(faults[1]).c_str());
}

// A valid document must not be rejected.
TEST(settings_document, valid_document_has_no_faults)
{
    UNSIGNED_LONGS_EQUAL(
        0, read_faults("listen = \"[::1]:80\"\nslots = 9\nnames = [\"a\"]\nzones = [{cost = 1}]\n").size());
}

// An absent file must not be read as an empty document; only the cause is reported, not each missing key.
TEST(settings_document, unreadable_file_is_a_fault)
{
    document file = document::from_file("does-not-exist.toml");
    static_cast<void>(file.root().integer("slots", {1, 2}));
    const std::vector<fault> faults = file.finish();
    UNSIGNED_LONGS_EQUAL(1, faults.size());
    CHECK_TRUE(faults[0].code == errc::unreadable_file);
}

// A duration without a unit or with an unsupported one must be rejected instead of being read in a default unit.
TEST(settings_document, durations_have_a_unit)
{
    struct duration_case
    {
        const char* text;
        std::optional<std::chrono::milliseconds> value;
    };
    const std::vector<duration_case> cases{{"1500ms", 1500ms}, {"2.5s", 2500ms}, {"0ms", 0ms},  {"6s", 6000ms},
                                           {"6", {}},          {"6 s", {}},      {"-1s", {}},   {"ms", {}},
                                           {"1m", {}},         {"", {}},         {"1e99s", {}}, {"nans", {}}};
    for (const auto& each : cases)
    {
        CHECK_TEXT(parse_duration(each.text) == each.value, each.text);
    }
    auto document = document::from_text("a = \"700ms\"\nb = \"9s\"\nc = 5\n", "test.toml");
    const auto root = document.root();
    CHECK(root.duration("a", {1ms, 1000ms}) == 700ms);
    CHECK(root.duration("absent", {1ms, 1000ms, 40ms}) == 40ms);
    static_cast<void>(root.duration("b", {1ms, 1000ms}));
    static_cast<void>(root.duration("c", {1ms, 1000ms}));
    const auto faults = document.finish();
    LONGS_EQUAL(2, faults.size());
}
